//! The model engine, step by step.

use emulator::engine::{Admission, Engine, Progress, Task};
use emulator::experiment::EngineSheet;
use emulator::schedule::Microsecond;
use gateway::decide::prompt::{Prompt, PromptPart};
use policy::suspect::PartId;

fn sheet() -> EngineSheet {
    EngineSheet {
        slots: 2,
        queue: 2,
        step_ms: 10.0,
        step_ms_per_slot: 1.0,
        read_tokens_per_ms: 100.0,
        chunk_tokens: 1_000,
        memory_tokens: 100_000,
        step_parts: vec![1.0],
    }
}

fn task(id: usize, shared: u64, own_tokens: u64, answer_tokens: u64) -> Task {
    let part = |chain: u64, tokens: u64| PromptPart {
        id: PartId::new(chain),
        chain,
        tokens,
    };
    let parts = vec![part(shared, 2_000), part(1_000 + id as u64, own_tokens)];
    Task {
        id,
        prompt: Prompt {
            input_tokens: 2_000 + own_tokens,
            output_tokens: answer_tokens,
            parts,
        },
        answer_tokens,
        rank: 5,
    }
}

/// Lets an engine work until it has nothing left: what came when, in microseconds.
fn work(engine: &mut Engine) -> Vec<(Microsecond, Progress)> {
    let mut now_us = 0;
    let mut all = Vec::new();
    while let Some(step) = engine.begin_step(now_us) {
        now_us += step.took_us;
        let progress = engine.end_step(&step);
        all.extend(progress.into_iter().map(|p| (now_us, p)));
    }
    all
}

#[test]
fn a_prompt_is_read_in_chunks_and_then_a_token_comes_with_each_step() {
    let mut engine = Engine::new(&sheet(), 1.0);
    engine.take(task(0, 7, 500, 3));
    // 1,000, 1,000 and 500 tokens in steps of 20, 20 and 15 ms; then two steps of 11 ms.
    let came = work(&mut engine);
    let first = (55_000, Progress::First(0));
    assert_eq!(came, [first, (77_000, Progress::Done(0))]);
    assert_eq!(engine.read_tokens, 2_500);
}

#[test]
fn a_faster_engine_takes_a_part_of_the_time() {
    let mut engine = Engine::new(&sheet(), 0.5);
    engine.take(task(0, 7, 500, 1));
    assert_eq!(work(&mut engine)[0].0, 27_500);
}

#[test]
fn what_is_kept_is_not_read_again() {
    let mut engine = Engine::new(&sheet(), 1.0);
    engine.take(task(0, 7, 500, 1));
    work(&mut engine);
    engine.take(task(1, 7, 500, 1));
    engine.take(task(2, 8, 500, 1));
    work(&mut engine);
    assert_eq!(engine.read_tokens, 2_500 + 500 + 2_500);
    assert_eq!(engine.shared_read_tokens, 4_000);
    engine.end();
    engine.take(task(3, 7, 500, 1));
    work(&mut engine);
    assert_eq!(engine.shared_read_tokens, 6_000);
}

#[test]
fn a_long_prompt_slows_the_tokens_of_others() {
    let mut engine = Engine::new(&sheet(), 1.0);
    engine.take(task(0, 7, 10, 100));
    for _ in 0..5 {
        let step = engine.begin_step(0).unwrap();
        engine.end_step(&step);
    }
    let alone = engine.begin_step(0).unwrap();
    engine.end_step(&alone);
    engine.take(task(1, 8, 5_000, 1));
    let beside = engine.begin_step(0).unwrap();
    assert_eq!((alone.took_us, beside.took_us), (11_000, 21_000));
}

#[test]
fn the_more_urgent_one_starts_first_and_the_queue_has_an_end() {
    let mut engine = Engine::new(&sheet(), 1.0);
    for id in 0..3 {
        assert_eq!(engine.take(task(id, 7, 10, 2)), Admission::Taken);
    }
    let urgent = Task {
        rank: 0,
        ..task(3, 7, 10, 2)
    };
    assert_eq!(engine.take(urgent), Admission::Taken);
    assert_eq!(engine.take(task(4, 7, 10, 2)), Admission::Full);
    let first = work(&mut engine)[0].1;
    assert_eq!(first, Progress::First(3));
}

#[test]
fn an_engine_that_ends_gives_back_what_it_had() {
    let mut engine = Engine::new(&sheet(), 1.0);
    for id in 0..3 {
        engine.take(task(id, 7, 10, 50));
    }
    for _ in 0..4 {
        let step = engine.begin_step(0).unwrap();
        engine.end_step(&step);
    }
    engine.cancel(1);
    let lost = engine.end();
    let ids: Vec<usize> = lost.iter().map(|(id, _)| *id).collect();
    assert_eq!(ids, [2, 0]);
    assert!(lost[1].1 > 0);
    assert_eq!(engine.load(), 0);
}
