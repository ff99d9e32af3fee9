//! VM list, reclaim notices and cloud API.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use base::Map;
use base::units::Millisecond;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::json as object;
use tokio::time::Instant;

use super::control::{Area, Platform};
use crate::server::{Answer, json, query_value, read_json, text};

/// Process of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// A daemon of the system.
    Entry,
    /// A model engine or plain service.
    Backend,
}

/// One VM, as the harness registers it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Identifier.
    pub id: String,
    /// Address of its process.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: String,
    /// Its class.
    pub class: String,
    /// Process of the VM.
    pub role: VmRole,
    /// The service a backend server offers.
    #[serde(default)]
    pub service: Option<String>,
}

/// A listed VM and the instant it will be gone, if notice was given.
#[derive(Clone, Debug)]
struct Entry {
    vm: Vm,
    gone_at: Option<Instant>,
}

impl Entry {
    fn remaining_ms(&self) -> Option<Millisecond> {
        let left = self.gone_at?.saturating_duration_since(Instant::now());
        Some(left.as_millis() as Millisecond)
    }
}

type Listing = BTreeMap<String, Entry>;

/// The VM list and what the cloud sold.
#[derive(Default)]
pub struct VmStore {
    current: Listing,
    visible: Listing,
    pending: VecDeque<(Instant, Listing)>,
    lag: Duration,
    refuse_starts: bool,
    bought: Map<String, String>,
}

impl VmStore {
    /// Lists a VM, or replaces its entry.
    pub fn put(&mut self, vm: Vm) {
        let entry = Entry { vm, gone_at: None };
        self.current.insert(entry.vm.id.clone(), entry);
        self.publish();
    }

    /// Gives notice to a VM.
    pub fn reclaim(&mut self, id: &str, remaining_ms: Millisecond) {
        if let Some(entry) = self.current.get_mut(id) {
            entry.gone_at = Some(Instant::now() + Duration::from_millis(remaining_ms));
        }
        self.publish();
    }

    /// Takes a VM off the list.
    pub fn remove(&mut self, id: &str) {
        self.current.remove(id);
        self.publish();
    }

    /// Sets how long a change takes to show.
    pub fn set_lag(&mut self, lag_ms: Millisecond) {
        self.lag = Duration::from_millis(lag_ms);
    }

    /// Whether orders for VMs are refused.
    pub fn refuse_starts(&mut self, refuse: bool) {
        self.refuse_starts = refuse;
    }

    fn publish(&mut self) {
        let due = Instant::now() + self.lag;
        self.pending.push_back((due, self.current.clone()));
    }

    fn visible(&mut self) -> &Listing {
        let now = Instant::now();
        while self.pending.front().is_some_and(|(due, _)| *due <= now) {
            let (_, listing) = self.pending.pop_front().expect("just seen");
            self.visible = listing;
        }
        &self.visible
    }

    fn notice(&self, id: &str) -> Option<Millisecond> {
        self.current.get(id)?.remaining_ms()
    }
}

/// A VM as the list shows it.
#[derive(Serialize)]
struct ListedVm<'a> {
    #[serde(flatten)]
    vm: &'a Vm,
    state: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    remaining_ms: Option<Millisecond>,
}

impl<'a> From<&'a Entry> for ListedVm<'a> {
    fn from(entry: &'a Entry) -> Self {
        let remaining_ms = entry.remaining_ms();
        let state = match remaining_ms {
            Some(_) => "leaving",
            None => "live",
        };
        Self {
            vm: &entry.vm,
            state,
            remaining_ms,
        }
    }
}

/// Body of `POST /cloud/vms`; the rest of the order is ignored.
#[derive(Deserialize)]
struct Order {
    token: String,
}

impl Platform {
    pub(super) async fn vms_call(&self, request: &Request<Incoming>, path: &[&str]) -> Answer {
        self.count(|stats| stats.vm_reads += 1);
        let effect = async || match (request.method(), path) {
            (&Method::GET, []) => self.list_vms(),
            (&Method::GET, [id, "notice"]) => self.notice(id),
            _ => text(StatusCode::NOT_FOUND, "no such path"),
        };
        self.fault(Area::Vms).around(effect).await
    }

    fn list_vms(&self) -> Answer {
        let mut store = self.vms.lock().expect("no holder panics");
        let vms: Vec<ListedVm> = store.visible().values().map(ListedVm::from).collect();
        json(StatusCode::OK, &object!({ "vms": vms }))
    }

    fn notice(&self, id: &str) -> Answer {
        let notice = self.vms.lock().expect("no holder panics").notice(id);
        match notice {
            Some(remaining_ms) => json(StatusCode::OK, &object!({"remaining_ms": remaining_ms})),
            None => text(StatusCode::NOT_FOUND, "no notice"),
        }
    }

    pub(super) async fn cloud_call(&self, request: Request<Incoming>, path: &[&str]) -> Answer {
        self.count(|stats| stats.cloud_calls += 1);
        let effect = async || match (request.method(), path) {
            (&Method::POST, []) => self.buy(request).await,
            (&Method::GET, []) => {
                let token = query_value(&request, "token").unwrap_or_default();
                self.find(&token)
            }
            (&Method::DELETE, [id]) => {
                self.vms.lock().expect("no holder panics").remove(id);
                json(StatusCode::OK, &object!({}))
            }
            _ => text(StatusCode::NOT_FOUND, "no such path"),
        };
        self.fault(Area::Cloud).around(effect).await
    }

    async fn buy(&self, request: Request<Incoming>) -> Answer {
        let order: Order = match read_json(request).await {
            Ok(order) => order,
            Err(refusal) => return refusal,
        };
        let mut store = self.vms.lock().expect("no holder panics");
        let earlier = store.bought.get(&order.token).cloned();
        if earlier.is_none() && store.refuse_starts {
            return text(StatusCode::CONFLICT, "no capacity");
        }
        let next = format!("vm-bought-{}", store.bought.len() + 1);
        let vm = earlier.unwrap_or_else(|| {
            self.count(|stats| stats.vms_bought += 1);
            next
        });
        store.bought.insert(order.token.clone(), vm.clone());
        let purchase = object!({"token": order.token, "vm": vm});
        json(StatusCode::CREATED, &purchase)
    }

    fn find(&self, token: &str) -> Answer {
        let store = self.vms.lock().expect("no holder panics");
        match store.bought.get(token) {
            Some(vm) => json(StatusCode::OK, &object!({"token": token, "vm": vm})),
            None => text(StatusCode::NOT_FOUND, "nothing bought with this token"),
        }
    }
}
