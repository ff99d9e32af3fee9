//! State of the platform, its switches and its counters.

use std::sync::Mutex;

use base::units::Millisecond;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use super::Options;
use super::objects::{ObjectStore, WeightStore};
use super::table::{TableOperation, TableStore};
use super::vms::{Vm, VmStore};
use crate::fault::{Fault, FaultSwitch};
use crate::server::{Answer, header_text, json, read_body, read_json, text};

/// Order of the harness, as `POST /control` takes it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "action")]
pub enum Control {
    /// Lists a VM, or replaces its entry.
    PutVm {
        /// The VM.
        vm: Vm,
    },
    /// Gives notice that a VM will be reclaimed.
    Reclaim {
        /// The VM's identifier.
        id: String,
        /// Time until it is gone.
        remaining_ms: Millisecond,
    },
    /// Takes a VM off the list.
    RemoveVm {
        /// The VM's identifier.
        id: String,
    },
    /// Sets how long the list takes to show a change; notices are not delayed.
    ListLag {
        /// The delay.
        lag_ms: Millisecond,
    },
    /// Sets a fault of one area.
    Fault {
        /// Which calls.
        area: Area,
        /// Faults that occur.
        fault: Fault,
    },
    /// Whether orders for VMs are refused.
    RefuseStarts {
        /// True to refuse them.
        refuse: bool,
    },
}

/// Group of calls that a fault applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Area {
    /// `GetItem` and `Query`.
    TableReads,
    /// `TransactWriteItems`.
    TableWrites,
    /// The object store.
    Objects,
    /// The VM list and notices.
    Vms,
    /// The cloud API.
    Cloud,
    /// The weight store.
    Weights,
}

/// Counters, as `GET /stats` answers them; calls stopped by a fault count too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformStats {
    /// `GetItem` and `Query` calls.
    pub table_reads: u64,
    /// `TransactWriteItems` calls.
    pub table_writes: u64,
    /// Of these, refused for a condition.
    pub table_conflicts: u64,
    /// Objects read.
    pub object_reads: u64,
    /// Objects written.
    pub object_writes: u64,
    /// Reads of the VM list and of notices.
    pub vm_reads: u64,
    /// Cloud calls.
    pub cloud_calls: u64,
    /// VMs bought.
    pub vms_bought: u64,
    /// Weights served.
    pub weights_served: u64,
}

/// The platform's state.
pub(super) struct Platform {
    pub(super) table: Mutex<TableStore>,
    pub(super) objects: Mutex<ObjectStore>,
    pub(super) weights: Mutex<WeightStore>,
    pub(super) vms: Mutex<VmStore>,
    stats: Mutex<PlatformStats>,
    faults: Faults,
}

#[derive(Default)]
struct Faults {
    table_reads: FaultSwitch,
    table_writes: FaultSwitch,
    objects: FaultSwitch,
    vms: FaultSwitch,
    cloud: FaultSwitch,
    weights: FaultSwitch,
}

impl Platform {
    pub(super) fn new(options: &Options) -> Self {
        Self {
            table: Mutex::default(),
            objects: Mutex::default(),
            weights: Mutex::new(WeightStore::new(options)),
            vms: Mutex::default(),
            stats: Mutex::default(),
            faults: Faults::default(),
        }
    }

    pub(super) fn stats(&self) -> PlatformStats {
        *self.stats.lock().expect("no holder panics")
    }

    pub(super) fn count(&self, change: impl FnOnce(&mut PlatformStats)) {
        change(&mut self.stats.lock().expect("no holder panics"));
    }

    pub(super) fn fault(&self, area: Area) -> &FaultSwitch {
        match area {
            Area::TableReads => &self.faults.table_reads,
            Area::TableWrites => &self.faults.table_writes,
            Area::Objects => &self.faults.objects,
            Area::Vms => &self.faults.vms,
            Area::Cloud => &self.faults.cloud,
            Area::Weights => &self.faults.weights,
        }
    }

    pub(super) async fn control_call(&self, request: Request<Incoming>) -> Answer {
        let control: Control = match read_json(request).await {
            Ok(control) => control,
            Err(refusal) => return refusal,
        };
        self.apply(&control);
        json(StatusCode::OK, &control)
    }

    fn apply(&self, control: &Control) {
        let mut vms = self.vms.lock().expect("no holder panics");
        match control {
            Control::PutVm { vm } => vms.put(vm.clone()),
            Control::Reclaim { id, remaining_ms } => vms.reclaim(id, *remaining_ms),
            Control::RemoveVm { id } => vms.remove(id),
            Control::ListLag { lag_ms } => vms.set_lag(*lag_ms),
            Control::Fault { area, fault } => self.fault(*area).set(*fault),
            Control::RefuseStarts { refuse } => vms.refuse_starts(*refuse),
        }
    }

    pub(super) async fn table_call(&self, request: Request<Incoming>) -> Answer {
        let target = header_text(&request, "x-amz-target").unwrap_or_default();
        let Some(operation) = TableOperation::from_target(&target) else {
            return text(StatusCode::BAD_REQUEST, "unknown x-amz-target");
        };
        let body = match read_body(request).await {
            Ok(body) => body,
            Err(refusal) => return refusal,
        };
        let area = match operation {
            TableOperation::GetItem | TableOperation::Query => Area::TableReads,
            TableOperation::TransactWriteItems => Area::TableWrites,
        };
        self.count(|stats| match area {
            Area::TableWrites => stats.table_writes += 1,
            _ => stats.table_reads += 1,
        });
        let effect = async || {
            let mut table = self.table.lock().expect("no holder panics");
            let reply = table.call(operation, &body);
            self.count(|stats| stats.table_conflicts += u64::from(reply.is_conflict()));
            reply.answer()
        };
        self.fault(area).around(effect).await
    }
}
