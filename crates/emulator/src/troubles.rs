//! What goes wrong with servers.

use base::Name;
use outside::Purchase;
use rand::seq::SliceRandom;

use crate::experiment::Trouble;
use crate::supply::{HostId, Pace, State};
use crate::world::{Event, World, seconds};

impl World<'_> {
    pub(crate) fn trouble(&mut self, place: usize) {
        let experiment = self.experiment;
        match &experiment.troubles[place] {
            Trouble::Reclaim {
                domain,
                notice_s,
                dry_s,
                ..
            } => self.reclaim(domain, *notice_s, *dry_s),
            Trouble::Crash { share, for_s, .. } => self.crash(*share, *for_s),
            Trouble::Limit {
                share,
                part,
                times,
                for_s,
                ..
            } => self.limit(*share, *part, *times, *for_s),
            Trouble::Burst { .. } | Trouble::Move { .. } | Trouble::SlowLink { .. } => {}
        }
    }

    fn reclaim(&mut self, domain: &Name, notice_s: f64, dry_s: f64) {
        let until_us = self.schedule.now_us() + seconds(dry_s);
        self.supply.dry(until_us);
        let reclaimed: Vec<HostId> = self
            .supply
            .in_state(State::Up)
            .filter(|(_, h)| h.failure_domain == *domain && h.purchase == Purchase::Reclaimable)
            .map(|(id, _)| id)
            .collect();
        for host in reclaimed {
            self.leave_alone(host);
            self.schedule.add(seconds(notice_s), Event::Taken { host });
        }
    }

    /// Servers drawn from those that run.
    fn some(&mut self, share: f64) -> Vec<HostId> {
        let up = self.supply.in_state(State::Up).map(|(id, _)| id);
        let mut up: Vec<HostId> = up.collect();
        up.shuffle(&mut self.rng);
        up.truncate((up.len() as f64 * share).round() as usize);
        up
    }

    fn limit(&mut self, share: f64, part: f64, times: f64, for_s: f64) {
        let all_per_s: f64 = self.experiment.kinds.iter().map(|k| k.per_s).sum();
        let limit_per_s = part * all_per_s / f64::from(self.experiment.servers());
        for host in self.some(share) {
            let there = self.supply.host(host);
            there.limit_per_s = Some(limit_per_s);
            there.engine.slow(times);
            self.schedule
                .add(seconds(for_s), Event::Relieved { host, times });
        }
    }

    pub(crate) fn relieved(&mut self, host: HostId, times: f64) {
        let there = self.supply.host(host);
        there.limit_per_s = None;
        there.engine.slow(1.0 / times);
    }

    fn crash(&mut self, share: f64, for_s: f64) {
        let up = self.some(share);
        // All at once: no request goes from one to another of them.
        for host in &up {
            self.supply.host(*host).state = State::Down;
        }
        for host in up {
            self.lose(host);
            self.schedule.add(seconds(for_s), Event::Back { host });
        }
    }

    pub(crate) fn taken(&mut self, host: HostId) {
        if self.supply.host(host).state == State::Gone {
            return;
        }
        let now_us = self.schedule.now_us();
        self.supply.remove(host, now_us);
        self.lose(host);
    }

    pub(crate) fn back(&mut self, host: HostId) {
        let there = self.supply.host(host);
        if there.state != State::Down {
            return;
        }
        there.state = State::Up;
        self.announce(host);
    }

    /// An engine ends amid its work.
    fn lose(&mut self, host: HostId) {
        let there = self.supply.host(host);
        there.life += 1;
        there.pace = Pace::Idle;
        for (id, given) in there.engine.end() {
            self.lost(id, given);
        }
    }
}
