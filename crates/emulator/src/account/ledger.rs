//! The account itself: pure sums over a report and a log.

use std::fmt::Write;

use super::log::WINDOW_S;
use super::{LogSummary, Report};

/// Prices and losses below this are left out of the text.
const SHOWN_WORTH: f64 = 0.005;

/// Name of the price of backend servers.
const SERVERS_PRICE: &str = "seconds of servers ordered";

/// Name of the price of the entry VMs.
const MACHINES_PRICE: &str = "machine-seconds";

/// Name of the part that the two windows with the lowest worth make up.
const WORST_WINDOWS: &str = "worst windows";

/// Name of the part that the whole day makes up.
const WHOLE_DAY: &str = "whole day";

/// Number of windows that count as the worst.
const WORST_WINDOWS_COUNT: usize = 2;

/// Account of one day. All worths are shares of the worth owed.
#[derive(Clone, Debug, PartialEq)]
pub struct Ledger {
    pub worth: f64,
    /// Worth lost in each part, by name.
    pub lost: Vec<(String, f64)>,
    /// Worth paid, by name.
    pub paid: Vec<(String, f64)>,
    pub bound: Bound,
}

/// The worth that no decision could have exceeded.
#[derive(Clone, Debug, PartialEq)]
pub struct Bound {
    pub worth: f64,
    /// Worth lost while no node was running.
    pub dark: f64,
    /// Price of the busy servers alone, each of the cheapest kind that could be bought.
    pub servers: f64,
    /// Price of the entry VMs.
    pub machines: f64,
}

impl Ledger {
    /// Accounts for a day. `reclaimable_price` is the price of a reclaimable server as a share of
    /// the price on demand.
    pub fn new(report: &Report, log: &LogSummary, reclaimable_price: f64) -> Self {
        let parts = report.parts.iter();
        let prices = report.prices.iter();
        Self {
            worth: report.worth,
            lost: parts
                .map(|part| (part.0.clone(), part.1 * (1.0 - part.2)))
                .collect(),
            paid: prices.map(|price| (price.0.clone(), price.2)).collect(),
            bound: Bound::new(report, log, reclaimable_price),
        }
    }
}

impl Bound {
    fn new(report: &Report, log: &LogSummary, reclaimable_price: f64) -> Self {
        let price = |name: &str| {
            let found = report.prices.iter().find(|price| price.0 == name);
            found.map_or((0.0, 0.0), |price| (price.1, price.2))
        };
        let (server_seconds, servers) = price(SERVERS_PRICE);
        let per_second = servers / server_seconds.max(f64::MIN_POSITIVE);
        let busy_s = log.busy_on_demand_s + log.busy_reclaimable_s * reclaimable_price;
        let servers = busy_s * per_second;
        let machines = price(MACHINES_PRICE).1;
        let dark = dark_worth(report, log);
        Self {
            worth: 1.0 - dark - servers - machines,
            dark,
            servers,
            machines,
        }
    }
}

/// Worth lost in the windows in which no node was running for a part of the time.
fn dark_worth(report: &Report, log: &LogSummary) -> f64 {
    let weight = |name: &str| {
        let found = report.parts.iter().find(|part| part.0 == name);
        found.map_or(0.0, |part| part.1)
    };
    let owed = |asked: u64, not_owed: u64| asked.saturating_sub(not_owed) as f64;
    let windows = report.windows.iter();
    let all_owed: f64 = windows.clone().map(|w| owed(w.asked, w.not_owed)).sum();
    let mut losses = Vec::new();
    let mut day = 0.0;
    for window in windows {
        let Ok(from_s) = window.name.parse::<f64>() else {
            continue;
        };
        let is_dark = log
            .dark
            .iter()
            .any(|(dark_s, until_s)| *dark_s < from_s + WINDOW_S && *until_s > from_s);
        if !is_dark {
            continue;
        }
        losses.push(1.0 - window.worth);
        day += (1.0 - window.worth) * owed(window.asked, window.not_owed) / all_owed.max(1.0);
    }
    losses.sort_by(|a, b| b.total_cmp(a));
    let worst: f64 = losses.iter().take(WORST_WINDOWS_COUNT).sum();
    weight(WHOLE_DAY) * day + weight(WORST_WINDOWS) * worst / WORST_WINDOWS_COUNT as f64
}

/// The account as text.
pub fn text(report: &Report, log: &LogSummary, ledger: &Ledger) -> String {
    let mut text = String::new();
    let bound = &ledger.bound;
    let _ = writeln!(
        text,
        "worth {:.3}; bound {:.3}: less {:.3} while no node ran, {:.3} for busy servers, {:.3} for entry VMs",
        ledger.worth, bound.worth, bound.dark, bound.servers, bound.machines
    );
    for (title, entries) in [("lost", &ledger.lost), ("paid", &ledger.paid)] {
        for (name, worth) in entries.iter().filter(|(_, worth)| *worth >= SHOWN_WORTH) {
            let _ = writeln!(text, "  {title} {worth:.3}  {name}");
        }
    }
    let _ = writeln!(
        text,
        "kind, asked, in time, late, refused, failed, not owed, worth"
    );
    let mut worst: Vec<_> = report.windows.iter().collect();
    worst.sort_by(|a, b| a.worth.total_cmp(&b.worth));
    let worst = worst.into_iter().take(WORST_WINDOWS_COUNT);
    for results in report.classes.iter().chain(worst) {
        let _ = writeln!(
            text,
            "  {}, {}, {}, {}, {}, {}, {}, {:.3}",
            results.name,
            results.asked,
            results.in_time,
            results.late,
            results.refused,
            results.failed,
            results.not_owed,
            results.worth
        );
    }
    for (from_s, until_s) in &log.dark {
        let _ = writeln!(text, "no node ran from {from_s:.2} s to {until_s:.2} s");
    }
    for (code, refusals) in &log.refusals {
        let median = refusals.median_retry_after_ms();
        let median = median.map_or("none".to_owned(), |ms| format!("{ms} ms"));
        let (at_s, most) = refusals.busiest().unwrap_or_default();
        let _ = writeln!(
            text,
            "refused {}: {code}, median Retry-After {median}, most from {at_s:.0} s: {most}",
            refusals.count
        );
    }
    for (cause, count) in &log.failed_attempts {
        let _ = writeln!(text, "failed attempts {count}: {cause}");
    }
    log.lateness.write(&mut text);
    for ((purchase, outcome), count) in &log.orders {
        let _ = writeln!(text, "orders {count}: {purchase}, {}", outcome.label());
    }
    text
}
