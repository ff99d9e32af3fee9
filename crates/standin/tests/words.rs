//! The deterministic answer and the prefix cache.

use standin::engine::cache::{BlockCache, block_hashes};
use standin::engine::words::{Origin, WORD_BYTES, answer, position_after, position_in};
use test_case::test_case;

#[test_case(0; "nothing relayed")]
#[test_case(1; "one token relayed")]
#[test_case(300; "many tokens relayed")]
fn both_forms_of_resume_find_the_next_token(relayed: u64) {
    let prompt = "Summarise the ledger of the Mestia clinic.";
    let partial = answer(prompt, relayed);
    let apart = position_after(prompt, &partial);
    let joined = position_in(&format!("{prompt}{partial}"));
    assert_eq!(apart, joined);
    assert_eq!(apart.next_index, relayed);
    assert_eq!(apart.origin, Origin::Own);
}

#[test]
fn a_foreign_partial_answer_is_recognised() {
    let position = position_after("one prompt", &answer("another prompt", 3));
    assert_eq!(position.origin, Origin::Foreign);
}

#[test]
fn words_of_another_answer_at_the_end_of_a_prompt_belong_to_the_prompt() {
    let prompt = format!("Continue:{}", answer("another prompt", 2));
    let position = position_in(&prompt);
    assert_eq!(position.next_index, 0);
    assert_eq!(answer(&prompt, 1).len(), WORD_BYTES);
}

#[test]
fn the_least_recently_used_block_goes_first() {
    let words: Vec<String> = (0..12).map(|n| n.to_string()).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let hashes = block_hashes(&words, 4);
    assert_eq!(hashes.len(), 3);
    let mut cache = BlockCache::new(2);
    cache.store(&hashes[..2]);
    cache.store(&hashes[..1]);
    let change = cache.store(&hashes[2..]);
    assert_eq!(change.removed, [hashes[1]]);
    assert_eq!(cache.matched(&hashes), 1);
}
