//! Which bodies are held, and which yield to others when the memory for bodies is full.

use gateway::decide::body_memory::{BodyMemory, BodyOwner, BodyReservation, MemoryFull};
use test_case::test_case;

const LIMIT_BYTES: usize = 3_000;

fn answer_of(server: &str) -> BodyOwner {
    BodyOwner::Answer(server.into())
}

/// Reservations of these sizes, which fill the memory as far as it goes.
fn held(memory: &BodyMemory, owner: &BodyOwner, sizes: &[usize]) -> Vec<BodyReservation> {
    let mut all = Vec::new();
    for bytes in sizes {
        let mut body = memory.reserve(owner.clone());
        body.resize(*bytes).unwrap();
        all.push(body);
    }
    all
}

/// Number of bodies that must yield: they can't grow any more.
fn yielding(bodies: &mut [BodyReservation], bytes: usize) -> usize {
    let refused = bodies.iter_mut().map(|body| body.resize(bytes));
    refused.filter(Result::is_err).count()
}

#[test]
fn the_limit_is_never_exceeded() {
    let memory = BodyMemory::new(LIMIT_BYTES);
    let mut bodies = Vec::new();
    for number in 0..200 {
        let mut body = memory.reserve(answer_of(&format!("s{}", number % 7)));
        let _ = body.resize(10 + 13 * number);
        assert!(memory.bytes() <= memory.limit_bytes());
        bodies.push(body);
    }
    drop(bodies);
    assert_eq!(memory.bytes(), 0);
}

#[test_case(BodyOwner::Request, &[900], 1_200 => 1; "a request that has not run")]
#[test_case(answer_of("faulty"), &[1_900], 250 => 1; "a server with long answers")]
#[test_case(answer_of("faulty"), &[300; 6], 250 => 1; "a server with many answers")]
#[test_case(answer_of("sound"), &[1_900], 250 => 1; "a long answer of the same server")]
fn an_answer_takes_the_place_of(owner: BodyOwner, sizes: &[usize], own_bytes: usize) -> usize {
    let memory = BodyMemory::new(LIMIT_BYTES);
    let mut bodies = held(&memory, &owner, sizes);
    let mut own = memory.reserve(answer_of("sound"));
    own.resize(own_bytes).unwrap();
    yielding(&mut bodies, sizes[0])
}

#[test_case(BodyOwner::Running, &[900], 1_200; "a request that may have run")]
#[test_case(answer_of("other"), &[900], 1_200; "a server with shorter answers")]
fn an_answer_does_not_take_the_place_of(owner: BodyOwner, sizes: &[usize], own_bytes: usize) {
    let memory = BodyMemory::new(LIMIT_BYTES);
    let mut bodies = held(&memory, &owner, sizes);
    let mut own = memory.reserve(answer_of("sound"));
    assert_eq!(own.resize(own_bytes), Err(MemoryFull));
    assert_eq!(yielding(&mut bodies, sizes[0]), 0);
}

#[test_case(answer_of("sound"); "answers")]
#[test_case(BodyOwner::Running; "requests that may have run")]
fn a_request_that_has_not_run_takes_no_place_of(owner: BodyOwner) {
    let memory = BodyMemory::new(LIMIT_BYTES);
    let mut bodies = held(&memory, &owner, &[900]);
    let mut request = memory.reserve(BodyOwner::Request);
    let grown = (1..20).map(|n| request.resize(n * 100));
    assert!(grown.into_iter().any(|grown| grown == Err(MemoryFull)));
    assert_eq!(yielding(&mut bodies, 900), 0);
}

#[test]
fn stalled_requests_leave_room_for_a_shorter_one() {
    let memory = BodyMemory::new(LIMIT_BYTES);
    let mut stalled = held(&memory, &BodyOwner::Request, &[450, 450]);
    let mut request = memory.reserve(BodyOwner::Request);
    assert_eq!(request.resize(150), Ok(()));
    assert_eq!(yielding(&mut stalled, 450), 1);
}

#[test]
fn a_body_that_must_yield_is_told() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .unwrap();
    runtime.block_on(async {
        let memory = BodyMemory::new(LIMIT_BYTES);
        let stalled = held(&memory, &BodyOwner::Request, &[900]);
        let mut answer = memory.reserve(answer_of("sound"));
        answer.resize(1_900).unwrap();
        stalled[0].must_yield().await;
    });
}
