//! Decisions on leaving marks, configuration documents and handed-over streams.

use base::Name;
use base::ids::RequestId;
use base::secret::key_digest_hex;
use fleet::config_replica::{Adoption, ConfigReplica};
use fleet::handover::{
    ActivateReply, CopyRole, ExtendReply, ReadReply, StreamExtension, StreamRecord, StreamStatus,
    StreamStore, TakeReply, plan, rank,
};
use fleet::leaving::{LeavingMarks, MARKS_PER_MESSAGE};
use fleet::wire::{Completeness, ConfigDocument, ConfigTransfer, Health, MemberRecord};
use test_case::test_case;

fn id() -> RequestId {
    RequestId::from(5)
}

fn stream(epoch: u32, answer: &str) -> StreamRecord {
    StreamRecord {
        id: id(),
        workspace: "clinic".into(),
        service: "drafting".into(),
        path: "/v1/completions".to_owned(),
        body: String::new(),
        answer: answer.to_owned(),
        generated: answer.to_owned(),
        tokens: 0,
        failed: 0,
        remaining_ms: 1_000,
        priority: 0,
        epoch,
        owner: "n1".into(),
        standby: None,
        end: StreamStatus::Open,
    }
}

fn part(epoch: u32, offset_bytes: usize, answer: &str) -> StreamExtension {
    StreamExtension {
        id: id(),
        owner: "n1".into(),
        epoch,
        offset_bytes,
        answer: answer.to_owned(),
        generated: answer.to_owned(),
        tokens: 1,
        end: StreamStatus::Open,
    }
}

fn kept(epoch: u32, answer: &str, role: CopyRole) -> StreamStore {
    let mut streams = StreamStore::default();
    let reply = streams.take(stream(epoch, answer), role, 0);
    assert_eq!(reply, TakeReply::Taken);
    streams
}

#[test_case(2, TakeReply::Superseded; "the same epoch again")]
#[test_case(1, TakeReply::Superseded; "an older epoch")]
#[test_case(3, TakeReply::Taken; "a newer epoch")]
fn a_copy_is_replaced_only_by_a_newer_epoch(epoch: u32, want: TakeReply) {
    let mut streams = kept(2, "abc", CopyRole::Standby);
    let reply = streams.take(stream(epoch, "abcd"), CopyRole::Owner, 0);
    assert_eq!(reply, want);
}

#[test_case(2, 3, ExtendReply::Kept; "next part")]
#[test_case(2, 2, ExtendReply::Missing; "repeated part")]
#[test_case(2, 4, ExtendReply::Missing; "part after a gap")]
#[test_case(1, 3, ExtendReply::Superseded; "part of an older epoch")]
#[test_case(3, 3, ExtendReply::Missing; "part of an epoch not taken")]
fn an_extension_must_fit_the_copy(epoch: u32, offset_bytes: usize, want: ExtendReply) {
    let mut streams = kept(2, "abc", CopyRole::Standby);
    assert_eq!(streams.extend(&part(epoch, offset_bytes, "d")), want);
}

#[test_case(0, ActivateReply::Activated; "reader has nothing")]
#[test_case(3, ActivateReply::Activated; "reader has all")]
#[test_case(4, ActivateReply::Behind; "reader has more than the copy")]
fn a_standby_needs_all_bytes_of_the_reader(offset: usize, want: ActivateReply) {
    let mut streams = kept(2, "abc", CopyRole::Standby);
    let me: Name = "n2".into();
    let (reply, record) = streams.activate(id(), offset, &me, 400);
    assert_eq!(reply, want);
    let taken = record.map(|r| (r.epoch, r.owner, r.remaining_ms));
    let activated = want == ActivateReply::Activated;
    assert_eq!(taken, activated.then_some((3, me, 600)));
}

#[test]
fn readers_see_only_what_the_standby_has() {
    let mut streams = kept(2, "abc", CopyRole::Owner);
    assert_eq!(streams.extend(&part(2, 3, "d")), ExtendReply::Kept);
    let bytes = |text: &str| ReadReply::Bytes {
        text: text.to_owned(),
        end: StreamStatus::Open,
    };
    assert_eq!(streams.read(id(), 1), bytes("bc"));
    streams.allow_reading(id(), 1, 4);
    assert_eq!(
        streams.read(id(), 1),
        bytes("bc"),
        "an older epoch cannot extend the readable bytes"
    );
    streams.allow_reading(id(), 2, 4);
    assert_eq!(streams.read(id(), 1), bytes("bcd"));
    assert_eq!(streams.read(id(), 5), ReadReply::BadOffset);
}

#[test]
fn a_standby_is_not_read() {
    let streams = kept(2, "abc", CopyRole::Standby);
    assert_eq!(streams.read(id(), 0), ReadReply::NotOwner);
}

fn members(domains: &[&str]) -> Vec<MemberRecord> {
    let member = |(index, domain): (usize, &&str)| MemberRecord {
        name: format!("n{index}").into(),
        address: ([127, 0, 0, 1], 7).into(),
        failure_domain: (*domain).into(),
        incarnation: 1,
        health: Health::Alive,
    };
    domains.iter().enumerate().map(member).collect()
}

#[test]
fn candidates_avoid_the_failure_domains_of_the_leaver_and_of_each_other() {
    let members = members(&["vake", "vake", "saburtalo", "saburtalo", "didube", "didube"]);
    let domain_of = |name: &Name| {
        let member = members.iter().find(|m| m.name == *name);
        member.expect("a member").failure_domain.clone()
    };
    let ids: Vec<RequestId> = (0..300_u128).map(|n| RequestId::from(n * 7919)).collect();
    let mut owned = [0; 6];
    for assignment in plan(&ids, &members, "vake") {
        let (owner, standby) = (&assignment.candidates[0], &assignment.candidates[1]);
        assert_ne!(&*domain_of(owner), "vake");
        assert_ne!(&*domain_of(standby), "vake");
        assert_ne!(domain_of(owner), domain_of(standby));
        let index = members.iter().position(|m| m.name == *owner);
        owned[index.expect("a member")] += 1;
        assert_eq!(rank(assignment.id, &members).len(), 6);
    }
    assert!(
        owned[2..].iter().all(|count| (30..130).contains(count)),
        "{owned:?}"
    );
}

#[test]
fn a_leaver_without_peers_has_no_candidates() {
    assert!(plan(&[id()], &[], "vake")[0].candidates.is_empty());
}

fn text(version: u64, text: &str) -> ConfigDocument {
    ConfigDocument {
        version,
        digest: key_digest_hex(text),
        text: text.into(),
    }
}

#[test_case("limit = 1", "limit = 25"; "replaced")]
#[test_case("aaaa", "aa"; "shorter with equal letters")]
#[test_case("aa", "aaaa"; "longer with equal letters")]
#[test_case("", "new"; "from nothing")]
#[test_case("old", ""; "to nothing")]
#[test_case("Мтацминда", "Мтавминда"; "characters of two bytes")]
#[test_case("x\u{10d0}y", "x\u{10e0}y"; "characters that share bytes")]
fn a_patch_leads_to_the_next_document(old: &str, new: &str) {
    let mut sender = ConfigReplica::default();
    let mut receiver = ConfigReplica::default();
    sender.adopt(text(1, old));
    receiver.adopt(text(1, old));
    sender.adopt(text(2, new));
    let transfer = sender.transfer(1).expect("newer");
    assert!(matches!(transfer, ConfigTransfer::Patch(_)));
    assert_eq!(receiver.adopt_transfer(transfer), Adoption::Adopted);
    assert_eq!(receiver.current(), sender.current());
}

#[test]
fn versions_never_decrease_and_documents_must_match_their_digest() {
    let mut replica = ConfigReplica::default();
    assert_eq!(replica.adopt(text(3, "three")), Adoption::Adopted);
    assert_eq!(replica.adopt(text(2, "two")), Adoption::Older);
    assert_eq!(replica.adopt(text(3, "other")), Adoption::Older);
    let mut torn = text(4, "four");
    torn.text = "fou".into();
    assert_eq!(replica.adopt(torn), Adoption::Mismatch);
    assert_eq!(replica.version(), 3);
}

#[test]
fn marks_are_dropped_only_after_a_long_absence_from_the_list() {
    let mut leaving = LeavingMarks::default();
    let vm: Name = "backend-1".into();
    assert!(leaving.mark(&vm, 0));
    assert!(!leaving.mark(&vm, 0));
    leaving.retain_listed([&vm].into_iter(), 900, 1_000);
    leaving.retain_listed(std::iter::empty(), 1_800, 1_000);
    assert_eq!(leaving.digest().count, 1);
    leaving.retain_listed(std::iter::empty(), 1_900, 1_000);
    assert_eq!(leaving.digest(), Default::default());
    assert!(leaving.contains(&vm) && !leaving.mark(&vm, 2_000));
    leaving.retain_listed(std::iter::empty(), 2_900, 1_000);
    assert!(!leaving.contains(&vm));
}

#[test]
fn pages_of_marks_add_up_to_the_whole_set() {
    let mut full = LeavingMarks::default();
    let mut empty = LeavingMarks::default();
    for index in 0..345 {
        full.mark(&format!("backend-{index}").into(), 0);
    }
    for page_seed in 0..100 {
        let (page, part) = full.difference(&empty.buckets(), page_seed);
        assert!(page.len() <= MARKS_PER_MESSAGE);
        for vm in &page {
            empty.mark(vm, 0);
        }
        if part == Completeness::Whole {
            break;
        }
    }
    assert_eq!(empty.digest(), full.digest());
}
