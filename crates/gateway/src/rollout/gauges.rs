//! Gauges of rollouts.

use std::fmt::Write;

use super::{filter, is_on};
use crate::decide::rollout::Evidence;
use crate::node::Node;

/// Writes the share of each order's version at this node, and the outcomes that it knows of.
pub fn write(node: &Node, text: &mut String) {
    if !is_on(node) {
        return;
    }
    for (service, rollout) in &node.rollouts.borrow().by_service {
        let to = &rollout.order.to;
        let share = match filter::permits(node, service, to) {
            filter::Share::Unrestricted => 1.0,
            filter::Share::Part(share) => share,
            filter::Share::Nothing => 0.0,
        };
        let state = rollout.state.label();
        let labels = format!("service=\"{service}\",to=\"{to}\"");
        // Writing to a string does not fail.
        let _ = writeln!(
            text,
            "apricotledge_rollout_share{{{labels},state=\"{state}\"}} {share}"
        );
        let totals = rollout.judge.totals();
        for (version, routes) in [("new", &totals.new), ("old", &totals.old)] {
            let total = Evidence::total(routes);
            for (outcome, count) in [
                ("sent", total.sent),
                ("responded", total.responses),
                ("failed", total.failures),
                ("slow", total.slow),
            ] {
                let _ = writeln!(
                    text,
                    "apricotledge_rollout_requests{{{labels},version=\"{version}\",\
                     outcome=\"{outcome}\"}} {count}"
                );
            }
        }
    }
}
