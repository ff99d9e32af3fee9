//! What the harness asks of the platform and of operators.

use base::units::Millisecond;
use serde_json::Value;
use standin::fault::Fault;
use standin::journal::unix_ms;
use standin::platform::{Area, Control};

use super::Deployment;
use crate::history::Event;
use crate::wire::Call;

impl Deployment {
    /// Gives the platform an order.
    ///
    /// # Panics
    ///
    /// Panics if the platform does not take it.
    pub async fn control(&self, control: &Control) {
        let body = serde_json::to_value(control).expect("an order is plain data");
        let reply = Call::post("/control", &body)
            .send(self.platform_address)
            .await;
        assert_eq!(reply.expect("the platform answers").status, 200);
    }

    /// Gives a VM notice and records it.
    pub async fn reclaim(&self, vm: &str, remaining_ms: Millisecond) {
        self.recorder.record(Event::NoticeGiven {
            vm: vm.to_owned(),
            at_unix_ms: unix_ms(),
        });
        let id = vm.to_owned();
        self.control(&Control::Reclaim { id, remaining_ms }).await;
    }

    /// Sets a fault of one of the platform's services.
    pub async fn set_platform_fault(&self, area: Area, fault: Fault) {
        self.control(&Control::Fault { area, fault }).await;
    }

    /// Proposes a configuration at an entry VM; answers the version it became, or the status.
    ///
    /// # Errors
    ///
    /// Returns the status if it is not 200, and 0 if no whole answer comes.
    pub async fn apply(
        &self,
        entry: usize,
        base: u64,
        document: &Value,
        key: &str,
    ) -> Result<u64, u16> {
        let call = Call::post(format!("/admin/config?base={base}"), document).bearer(key);
        let reply = call
            .send(self.entries[entry].admin)
            .await
            .map_err(|_| 0_u16)?;
        if reply.status != 200 {
            return Err(reply.status.as_u16());
        }
        let version = base + 1;
        self.recorder.record(Event::ConfigAccepted { version });
        Ok(version)
    }
}
