//! Faults drawn from a seed, and their healing.

use std::collections::BTreeMap;
use std::time::Duration;

use base::units::Millisecond;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use standin::fault::{Fault, FaultKind};
use standin::journal::unix_ms;
use standin::platform::{Area, Control};
use tokio::time::Instant;

use crate::deployment::Deployment;
use crate::history::Event;
use crate::relay::Mode;

/// Pause between two looks at what is due.
const TICK: Duration = Duration::from_millis(20);

/// Kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultInjected {
    /// An engine is killed; another replaces it.
    EngineKilled,
    /// An engine gets notice, and is killed when its time is over.
    EngineReclaimed,
    /// An engine is stopped for a while.
    EngineFrozen,
    /// The path to an engine is cut for a while.
    EngineCut,
    /// The path to an engine is half open for a while.
    EngineHeld,
    /// An engine's streams end early for a while.
    EngineTruncates,
    /// A plain service loses an answer.
    DeskAnswerLost,
    /// A plain service closes a connection before the effect.
    DeskDrops,
    /// A plain service is killed; another replaces it.
    DeskKilled,
    /// An entry VM is asked to leave; another replaces it.
    EntryReclaimed,
    /// An entry VM is stopped for a while.
    EntryFrozen,
    /// The platform is out of reach for a while.
    PlatformCut,
    /// The platform's answers are held back for a while.
    PlatformHeld,
    /// Answers to some writes of the table are lost.
    TableAnswerLost,
    /// The table refuses some calls.
    TableThrottles,
    /// The VM list lags from now on.
    ListLags,
}

const KINDS: [FaultInjected; 16] = [
    FaultInjected::EngineKilled,
    FaultInjected::EngineReclaimed,
    FaultInjected::EngineFrozen,
    FaultInjected::EngineCut,
    FaultInjected::EngineHeld,
    FaultInjected::EngineTruncates,
    FaultInjected::DeskAnswerLost,
    FaultInjected::DeskDrops,
    FaultInjected::DeskKilled,
    FaultInjected::EntryReclaimed,
    FaultInjected::EntryFrozen,
    FaultInjected::PlatformCut,
    FaultInjected::PlatformHeld,
    FaultInjected::TableAnswerLost,
    FaultInjected::TableThrottles,
    FaultInjected::ListLags,
];

/// End of a fault.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Healing {
    EngineEnds(usize),
    EngineResumes(usize),
    EnginePath(usize),
    EngineWhole(usize),
    EntryResumes(usize),
    PlatformPath,
    Unlisted(String),
}

/// Injects faults and remembers what is to be healed.
pub(super) struct Injector {
    rng: StdRng,
    due: Vec<(Instant, Healing)>,
    counts: BTreeMap<FaultInjected, u32>,
    log: Vec<String>,
}

impl Injector {
    pub(super) fn seeded(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            due: Vec::new(),
            counts: BTreeMap::new(),
            log: Vec::new(),
        }
    }

    /// How often each fault was injected.
    pub(super) fn counts(&self) -> BTreeMap<FaultInjected, u32> {
        self.counts.clone()
    }

    /// Each fault and each healing, with its time since the Unix epoch.
    pub(super) fn log(&self) -> &[String] {
        &self.log
    }

    /// Injects faults for a time.
    pub(super) async fn run(&mut self, deployment: &mut Deployment, duration: Duration) {
        let end = Instant::now() + duration;
        let mut next = Instant::now() + self.millis(200..600);
        while Instant::now() < end {
            self.heal_due(deployment, Instant::now()).await;
            deployment.retire_ended_entries().await;
            if Instant::now() >= next {
                let kind = KINDS[self.rng.random_range(0..KINDS.len())];
                self.inject(deployment, kind).await;
                next = Instant::now() + self.millis(100..700);
            }
            tokio::time::sleep(TICK).await;
        }
    }

    /// Ends every fault that can end.
    pub(super) async fn heal(&mut self, deployment: &mut Deployment) {
        while let Some(last) = self.due.iter().map(|(due, _)| *due).max() {
            self.heal_due(deployment, last).await;
        }
        for area in [Area::TableReads, Area::TableWrites] {
            deployment.set_platform_fault(area, Fault::default()).await;
        }
    }

    async fn inject(&mut self, deployment: &mut Deployment, kind: FaultInjected) {
        let injected = match kind {
            FaultInjected::EngineKilled => self.kill_engine(deployment).await,
            FaultInjected::EngineReclaimed => self.reclaim_engine(deployment).await,
            FaultInjected::EngineFrozen => self.freeze_engine(deployment),
            FaultInjected::EngineCut => self.engine_path(deployment, Mode::Cut),
            FaultInjected::EngineHeld => self.engine_path(deployment, Mode::Held),
            FaultInjected::EngineTruncates => self.truncate(deployment).await,
            FaultInjected::DeskAnswerLost => self.desk(deployment, FaultKind::LoseAnswer).await,
            FaultInjected::DeskDrops => self.desk(deployment, FaultKind::DropBefore).await,
            FaultInjected::DeskKilled => self.kill_desk(deployment).await,
            FaultInjected::EntryReclaimed => self.reclaim_entry(deployment).await,
            FaultInjected::EntryFrozen => self.freeze_entry(deployment),
            FaultInjected::PlatformCut => self.platform_path(deployment, Mode::Cut),
            FaultInjected::PlatformHeld => self.platform_path(deployment, Mode::AnswersHeld),
            FaultInjected::TableAnswerLost => self.table(deployment, FaultKind::LoseAnswer).await,
            FaultInjected::TableThrottles => self.table(deployment, FaultKind::Throttle).await,
            FaultInjected::ListLags => self.lag(deployment).await,
        };
        if injected.is_some() {
            self.log.push(format!("{} {kind:?}", unix_ms()));
            *self.counts.entry(kind).or_default() += 1;
        }
    }

    async fn kill_engine(&mut self, deployment: &mut Deployment) -> Option<()> {
        let index = self.engine(deployment)?;
        lost(deployment, index);
        deployment.engines[index].process.kill();
        let vm = deployment.engines[index].vm.clone();
        self.later(0..3_000, Healing::Unlisted(vm));
        deployment.add_engine().await;
        Some(())
    }

    async fn reclaim_engine(&mut self, deployment: &mut Deployment) -> Option<()> {
        let index = self.engine(deployment)?;
        let vm = deployment.engines[index].vm.clone();
        let remaining_ms = self.rng.random_range(300..7_000);
        deployment.reclaim(&vm, remaining_ms).await;
        let end = remaining_ms..remaining_ms + 1;
        self.later(end, Healing::EngineEnds(index));
        deployment.add_engine().await;
        Some(())
    }

    fn freeze_engine(&mut self, deployment: &mut Deployment) -> Option<()> {
        let index = self.engine(deployment)?;
        lost(deployment, index);
        deployment.engines[index].process.freeze();
        self.later(200..4_000, Healing::EngineResumes(index));
        Some(())
    }

    fn engine_path(&mut self, deployment: &mut Deployment, mode: Mode) -> Option<()> {
        let index = self.engine(deployment)?;
        lost(deployment, index);
        deployment.engines[index].relay.set(mode);
        self.later(200..3_000, Healing::EnginePath(index));
        Some(())
    }

    async fn truncate(&mut self, deployment: &mut Deployment) -> Option<()> {
        let index = self.engine(deployment)?;
        let after = self.rng.random_range(0..40);
        let faults = json!({"truncate_after_tokens": after});
        let engine = &deployment.engines[index];
        deployment.set_faults(engine, &faults).await;
        self.later(200..2_000, Healing::EngineWhole(index));
        Some(())
    }

    async fn desk(&mut self, deployment: &mut Deployment, kind: FaultKind) -> Option<()> {
        let index = self.running_desk(deployment)?;
        let fault = json!({"fault": {"kind": kind, "next": 1}});
        let desk = &deployment.desks[index];
        deployment.set_faults(desk, &fault).await;
        Some(())
    }

    async fn kill_desk(&mut self, deployment: &mut Deployment) -> Option<()> {
        let index = self.running_desk(deployment)?;
        deployment.desks[index].process.kill();
        let vm = deployment.desks[index].vm.clone();
        self.later(0..3_000, Healing::Unlisted(vm));
        deployment.add_desk().await;
        Some(())
    }

    async fn reclaim_entry(&mut self, deployment: &mut Deployment) -> Option<()> {
        let index = self.entry(deployment)?;
        deployment.add_entry().await;
        deployment.retire_entry(index).await;
        Some(())
    }

    fn freeze_entry(&mut self, deployment: &mut Deployment) -> Option<()> {
        let index = self.entry(deployment)?;
        deployment.entries[index].process.freeze();
        self.later(200..3_000, Healing::EntryResumes(index));
        Some(())
    }

    fn platform_path(&mut self, deployment: &mut Deployment, mode: Mode) -> Option<()> {
        deployment.platform_relay.set(mode);
        self.later(200..3_000, Healing::PlatformPath);
        Some(())
    }

    async fn table(&mut self, deployment: &mut Deployment, kind: FaultKind) -> Option<()> {
        let fault = Fault {
            kind,
            delay_ms: 0,
            next: Some(self.rng.random_range(1..4)),
        };
        deployment
            .set_platform_fault(Area::TableWrites, fault)
            .await;
        Some(())
    }

    async fn lag(&mut self, deployment: &mut Deployment) -> Option<()> {
        let lag_ms = self.rng.random_range(0..3_000);
        deployment.control(&Control::ListLag { lag_ms }).await;
        Some(())
    }

    /// An engine without a fault, if two more remain.
    fn engine(&mut self, deployment: &mut Deployment) -> Option<usize> {
        let mut healthy = Vec::new();
        for (index, engine) in deployment.engines.iter_mut().enumerate() {
            if engine.process.is_running() && !self.has_fault_of_engine(index) {
                healthy.push(index);
            }
        }
        self.pick(&healthy, 3)
    }

    fn has_fault_of_engine(&self, index: usize) -> bool {
        self.due.iter().any(|(_, healing)| {
            matches!(healing,
                Healing::EngineEnds(at)
                | Healing::EngineResumes(at)
                | Healing::EnginePath(at)
                | Healing::EngineWhole(at) if *at == index)
        })
    }

    /// A running plain service, if one more remains.
    fn running_desk(&mut self, deployment: &mut Deployment) -> Option<usize> {
        let desks = deployment.desks.iter_mut().enumerate();
        let running: Vec<usize> = desks
            .filter_map(|(index, desk)| desk.process.is_running().then_some(index))
            .collect();
        self.pick(&running, 2)
    }

    /// A serving entry VM without a fault, if two more remain.
    fn entry(&mut self, deployment: &mut Deployment) -> Option<usize> {
        let mut serving = deployment.serving_entries();
        serving.retain(|index| {
            let frozen = Healing::EntryResumes(*index);
            !self.due.iter().any(|(_, healing)| *healing == frozen)
        });
        self.pick(&serving, 3)
    }

    fn pick(&mut self, candidates: &[usize], least: usize) -> Option<usize> {
        if candidates.len() < least {
            return None;
        }
        Some(candidates[self.rng.random_range(0..candidates.len())])
    }

    fn later(&mut self, after_ms: std::ops::Range<Millisecond>, healing: Healing) {
        let after = self.millis(after_ms);
        let line = format!("{} {healing:?} in {after:?}", unix_ms());
        self.log.push(line);
        self.due.push((Instant::now() + after, healing));
    }

    fn millis(&mut self, range: std::ops::Range<Millisecond>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    async fn heal_due(&mut self, deployment: &mut Deployment, now: Instant) {
        let all = std::mem::take(&mut self.due);
        let (due, rest) = all.into_iter().partition(|(at, _)| *at <= now);
        self.due = rest;
        for (_, healing) in due {
            self.apply(deployment, healing).await;
        }
    }

    async fn apply(&mut self, deployment: &mut Deployment, healing: Healing) {
        match healing {
            Healing::EngineEnds(index) => {
                deployment.engines[index].process.kill();
                let vm = deployment.engines[index].vm.clone();
                self.later(0..3_000, Healing::Unlisted(vm));
            }
            Healing::EngineResumes(index) => deployment.engines[index].process.resume(),
            Healing::EnginePath(index) => deployment.engines[index].relay.set(Mode::Pass),
            Healing::EngineWhole(index) => {
                let whole = json!({"truncate_after_tokens": null});
                let engine = &deployment.engines[index];
                deployment.set_faults(engine, &whole).await;
            }
            Healing::EntryResumes(index) => deployment.entries[index].process.resume(),
            Healing::PlatformPath => deployment.platform_relay.set(Mode::Pass),
            Healing::Unlisted(id) => deployment.control(&Control::RemoveVm { id }).await,
        }
    }
}

/// Records that an engine is lost without notice, for ever or for a while.
fn lost(deployment: &Deployment, index: usize) {
    let vm = deployment.engines[index].vm.clone();
    deployment.recorder.record(Event::ServerLost { vm });
}
