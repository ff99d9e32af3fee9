//! Orders of backend servers on their way: lost, late, refused, overtaken or repeated.

#[path = "support/scaling.rs"]
mod support;

use base::units::Millisecond;
use base::{Map, Name};
use gateway::decide::scale::{Need, Order, PresentServers, Registrations, ScalePlanner};
use outside::Purchase;
use support::{DECISION_PERIOD_MS, in_each_domain, scaling};

/// Releases that are ordered at 10 s and get no answer.
fn lost_releases(present: &Map<Name, PresentServers>) -> (ScalePlanner, Vec<Order>) {
    let mut scale = ScalePlanner::default();
    for at_ms in [3_000, 10_000] {
        scale.observe(Need::Busy(3.0), present, at_ms);
    }
    let releases = scale.plan(&scaling(None), present, Registrations::Complete, 10_000);
    assert!(releases.iter().all(|o| o.wanted < 4) && !releases.is_empty());
    for release in &releases {
        scale.record_unanswered(release);
    }
    (scale, releases)
}

/// Servers that are still registering must not be mistaken for missing ones that were released.
#[test]
fn while_servers_register_only_additional_ones_are_ordered() {
    let mut scale = ScalePlanner::default();
    let mut ordered: Map<Name, u32> = Map::default();
    for (round, on_demand) in [0, 1, 3, 6].into_iter().enumerate() {
        let now_ms = 1_000 + DECISION_PERIOD_MS * round as Millisecond;
        let mut present = in_each_domain(0, on_demand);
        present.get_mut("a").unwrap().on_demand = 6;
        let orders = scale.plan(
            &scaling(Some(0.22)),
            &present,
            Registrations::Partial,
            now_ms,
        );
        assert!(orders.iter().all(|o| o.purchase == Purchase::Reclaimable));
        for order in orders {
            ordered.insert(order.failure_domain, order.wanted);
        }
    }
    assert_eq!(ordered.values().sum::<u32>(), 18);
}

/// The platform may carry out an order whose answer is lost, so that other domains must not be
/// asked for the same servers.
#[test]
fn orders_without_an_answer_are_repeated_for_the_same_domain() {
    let mut scale = ScalePlanner::default();
    let present = in_each_domain(0, 2);
    scale.observe(Need::Busy(4.5), &present, 10_000);
    let scaling = scaling(Some(0.22));
    let on_demand = |orders: Vec<Order>| -> Vec<Order> {
        let only = orders.into_iter();
        only.filter(|o| o.purchase == Purchase::OnDemand).collect()
    };
    let first = on_demand(scale.plan(&scaling, &present, Registrations::Complete, 10_000));
    assert!(!first.is_empty());
    for order in &first {
        scale.record_unanswered(order);
    }
    let second = on_demand(scale.plan(&scaling, &present, Registrations::Complete, 12_000));
    let numbers = |orders: &[Order]| -> Vec<(Name, u32)> {
        let numbers = orders.iter().map(|o| (o.failure_domain.clone(), o.wanted));
        numbers.collect()
    };
    assert_eq!(numbers(&second), numbers(&first));
}

/// Two orders on their way may arrive in reverse, and the servers that the newer one keeps would
/// be released by the older one.
#[test]
fn no_release_is_ordered_before_the_last_order_is_answered() {
    let mut scale = ScalePlanner::default();
    let present = in_each_domain(0, 4);
    let scaling = scaling(None);
    let registrations = Registrations::Complete;
    for at_ms in [10_000, 20_000] {
        scale.observe(Need::Busy(6.0), &present, at_ms);
    }
    scale.set_lost_servers(6.0);
    let first = scale.plan(&scaling, &present, registrations, 20_000);
    assert!(first.iter().all(|o| o.wanted == 6) && first.len() == 3);
    scale.set_lost_servers(0.0);
    let before = scale.plan(&scaling, &present, registrations, 21_000);
    assert_eq!(before, Vec::new());
    for order in &first {
        scale.record_acceptance(order);
    }
    let after = scale.plan(&scaling, &present, registrations, 21_000);
    assert!(after.iter().all(|o| o.wanted == 4) && after.len() == 3);
}

/// A call ends within seconds, so an answer that is still missing later will not come any more.
#[test]
fn an_answer_that_never_comes_does_not_block_releases_for_good() {
    let mut scale = ScalePlanner::default();
    let present = in_each_domain(0, 4);
    let scaling = scaling(None);
    let registrations = Registrations::Complete;
    for at_ms in [10_000, 20_000] {
        scale.observe(Need::Busy(6.0), &present, at_ms);
    }
    scale.set_lost_servers(6.0);
    assert!(
        !scale
            .plan(&scaling, &present, registrations, 20_000)
            .is_empty()
    );
    scale.set_lost_servers(0.0);
    scale.observe(Need::Busy(6.0), &in_each_domain(0, 6), 27_000);
    let later = scale.plan(&scaling, &in_each_domain(0, 6), registrations, 27_000);
    assert!(later.iter().all(|o| o.wanted == 4) && later.len() == 3);
}

/// The platform may carry out an order whose answer was lost after newer ones, unless its fencing
/// number is lower.
#[test]
fn a_lost_release_carried_out_late_does_not_undo_a_newer_order() {
    let present = in_each_domain(0, 4);
    let (mut scale, releases) = lost_releases(&present);
    scale.observe(Need::Busy(9.0), &present, 11_000);
    let newer = scale.plan(&scaling(None), &present, Registrations::Complete, 11_000);
    assert!(!newer.is_empty());
    for order in &newer {
        assert!(order.wanted > 4, "{order:?}");
        let of_same = |o: &&Order| o.failure_domain == order.failure_domain;
        let late = releases.iter().find(of_same).unwrap();
        assert!(order.lost_before > late.lost_before, "{order:?}");
    }
}

/// The number that is there already is ordered, so that the platform refuses the lost release.
#[test]
fn a_lost_release_is_countermanded_though_the_servers_are_still_there() {
    let present = in_each_domain(0, 4);
    let (mut scale, _) = lost_releases(&present);
    scale.observe(Need::Busy(6.0), &present, 11_000);
    let orders = scale.plan(&scaling(None), &present, Registrations::Complete, 11_000);
    assert_eq!(orders.len(), 3);
    assert!(orders.iter().all(|o| o.wanted == 4 && o.lost_before == 1));
}

/// A platform that is down may reject calls at once, and each call has its price.
#[test]
fn a_platform_that_is_down_is_not_asked_in_every_round() {
    let mut scale = ScalePlanner::default();
    let scaling = scaling(None);
    let present = in_each_domain(0, 2);
    let (mut orders, round_ms, rounds) = (0, 250, 40);
    for round in 0..rounds {
        let now_ms = 10_000 + round * round_ms;
        scale.observe(Need::Busy(6.0), &present, now_ms);
        for order in scale.plan(&scaling, &present, Registrations::Complete, now_ms) {
            scale.record_unanswered(&order);
            orders += 1;
        }
    }
    assert!(
        orders <= 3 * rounds / 2,
        "{orders} orders in {rounds} rounds"
    );
}

/// An order that is overtaken by one with a higher fencing number is refused, though servers can be
/// bought.
#[test]
fn an_overtaken_order_is_placed_again_at_once() {
    let mut scale = ScalePlanner::default();
    let scaling = scaling(Some(0.22));
    let registrations = Registrations::Complete;
    let present = in_each_domain(0, 2);
    scale.observe(Need::Busy(4.5), &present, 10_000);
    let orders = scale.plan(&scaling, &present, registrations, 10_000);
    let of = |purchase| orders.iter().find(|o| o.purchase == purchase).unwrap();
    let (on_demand, reclaimable) = (of(Purchase::OnDemand), of(Purchase::Reclaimable));
    assert_eq!(on_demand.failure_domain, reclaimable.failure_domain);
    scale.record_unanswered(reclaimable);
    scale.record_refusal(on_demand, 10_100);
    let again = scale.plan(&scaling, &present, registrations, 10_500);
    let repeated = again
        .iter()
        .find(|o| o.purchase == Purchase::OnDemand && o.failure_domain == on_demand.failure_domain);
    let repeated = repeated.unwrap();
    assert_eq!(repeated.wanted, on_demand.wanted);
    assert!(repeated.lost_before > on_demand.lost_before);
}

#[test]
fn additional_servers_on_demand_are_ordered_before_all_others() {
    let mut scale = ScalePlanner::default();
    let present = in_each_domain(0, 2);
    scale.observe(Need::Busy(4.5), &present, 10_000);
    let orders = scale.plan(
        &scaling(Some(0.22)),
        &present,
        Registrations::Complete,
        10_000,
    );
    let kinds: Vec<Purchase> = orders.iter().map(|o| o.purchase).collect();
    let (on_demand, reclaimable) = kinds.split_at(3);
    assert!(on_demand.iter().all(|p| *p == Purchase::OnDemand));
    assert!(reclaimable.iter().all(|p| *p == Purchase::Reclaimable));
}

#[test]
fn an_order_is_not_repeated_while_it_is_carried_out() {
    let mut scale = ScalePlanner::default();
    let present = in_each_domain(0, 2);
    scale.observe(Need::Busy(4.0), &present, 10_000);
    let registrations = Registrations::Complete;
    let first = scale.plan(&scaling(Some(0.22)), &present, registrations, 10_000);
    assert!(!first.is_empty());
    scale.observe(Need::Busy(4.0), &present, 10_500);
    let second = scale.plan(&scaling(Some(0.22)), &present, registrations, 10_500);
    assert_eq!(second, Vec::new());
}

#[test]
fn a_refused_kind_is_left_alone_for_a_while() {
    let mut scale = ScalePlanner::default();
    let present = in_each_domain(0, 2);
    scale.observe(Need::Busy(4.0), &present, 10_000);
    let registrations = Registrations::Complete;
    for order in scale.plan(&scaling(Some(0.22)), &present, registrations, 10_000) {
        if order.purchase == Purchase::Reclaimable {
            scale.record_refusal(&order, 10_000);
        }
    }
    let again = scale.plan(&scaling(Some(0.22)), &present, registrations, 10_500);
    assert!(again.iter().all(|o| o.purchase == Purchase::OnDemand));
    let later = scale.plan(&scaling(Some(0.22)), &present, registrations, 13_000);
    assert!(later.iter().any(|o| o.purchase == Purchase::Reclaimable));
}
