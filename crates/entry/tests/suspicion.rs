//! What entry VMs tell each other of requests that crash their backend servers.

use base::Name;
use entry::flow::Suspicion;
use policy::suspect::{EntryRank, RequestDigest, Treatment};

fn digest(text: &str) -> RequestDigest {
    RequestDigest::of("village-schools", "drafting", text.as_bytes())
}

fn crash(suspicion: &Suspicion, server: &str, text: &str) {
    let domain: Name = format!("domain of {server}").into();
    suspicion.record_crash(&server.into(), &domain, digest(text));
}

#[test]
fn crashes_seen_by_two_entry_vms_count_together() {
    let (left, right) = (Suspicion::default(), Suspicion::default());
    crash(&left, "runner-1", "deadly");
    crash(&right, "runner-2", "deadly");
    let news = left.take_updates();
    assert!(news.iter().all(|news| news.is_bounded()), "{news:?}");
    right.merge_from_peers(&news);
    right.merge_from_peers(&news);
    assert_eq!(right.treatment(digest("deadly")), Treatment::Refuse);
    assert_eq!(left.treatment(digest("deadly")), Treatment::Apart);
}

#[test]
fn a_good_end_is_heard_of() {
    let (left, right) = (Suspicion::default(), Suspicion::default());
    crash(&left, "runner-1", "harmless");
    right.merge_from_peers(&left.take_updates());
    assert_eq!(right.treatment(digest("harmless")), Treatment::Apart);
    left.record_completion(digest("harmless"));
    right.merge_from_peers(&left.take_updates());
    assert_eq!(right.treatment(digest("harmless")), Treatment::Normal);
}

#[test]
fn a_loss_that_turns_out_announced_is_taken_back() {
    let suspicion = Suspicion::default();
    crash(&suspicion, "runner-1", "harmless");
    crash(&suspicion, "runner-2", "harmless");
    assert_eq!(suspicion.treatment(digest("harmless")), Treatment::Refuse);
    suspicion.mark_departed(&"runner-1".into());
    assert_eq!(suspicion.treatment(digest("harmless")), Treatment::Apart);
}

#[test]
fn suspects_are_kept_apart_and_to_the_own_share() {
    let suspicion = Suspicion::default();
    suspicion.set_entry_rank(EntryRank {
        rank: 1,
        entries: 2,
    });
    crash(&suspicion, "runner-9", "one");
    crash(&suspicion, "runner-9", "two");
    let servers: Vec<Name> = ["a", "b", "c", "d"].map(Name::from).to_vec();
    let to_avoid = |suspicion: &Suspicion| suspicion.servers_to_avoid(servers.clone());
    assert_eq!(to_avoid(&suspicion), ["a", "c"].map(Name::from));
    let running = suspicion.track_running(&"b".into(), digest("one"));
    assert_eq!(to_avoid(&suspicion), ["a", "b", "c"].map(Name::from));
    drop(running);
    assert_eq!(to_avoid(&suspicion), ["a", "c"].map(Name::from));
}
