//! Entry VMs share their sightings of requests that crash backend servers.

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
    let updates = left.take_updates();
    assert!(
        updates.iter().all(|updates| updates.is_bounded()),
        "{updates:?}"
    );
    right.merge_from_peers(&updates);
    right.merge_from_peers(&updates);
    assert_eq!(right.treatment(digest("deadly")), Treatment::Refuse);
    assert_eq!(left.treatment(digest("deadly")), Treatment::Apart);
}

#[test]
fn a_completion_at_one_entry_vm_clears_the_request_at_another() {
    let (left, right) = (Suspicion::default(), Suspicion::default());
    crash(&left, "runner-1", "harmless");
    right.merge_from_peers(&left.take_updates());
    assert_eq!(right.treatment(digest("harmless")), Treatment::Apart);
    left.record_completion(digest("harmless"));
    right.merge_from_peers(&left.take_updates());
    assert_eq!(right.treatment(digest("harmless")), Treatment::Normal);
}

#[test]
fn a_crash_is_withdrawn_when_the_server_had_announced_its_leave() {
    let suspicion = Suspicion::default();
    crash(&suspicion, "runner-1", "harmless");
    crash(&suspicion, "runner-2", "harmless");
    assert_eq!(suspicion.treatment(digest("harmless")), Treatment::Refuse);
    suspicion.mark_departed(&"runner-1".into());
    assert_eq!(suspicion.treatment(digest("harmless")), Treatment::Apart);
}

#[test]
fn suspects_avoid_each_other_and_the_servers_of_other_entry_vms() {
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
