//! The platform's API for duties: usage reports and orders of runners, under fence numbers.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};

use crate::http::{Conn, json_answer};
use crate::json::Json;
use crate::record::Record;

/// Carries out an order of runners.
pub type OnOrder = Arc<dyn Fn(&str, &str, u64) + Send + Sync>;

#[derive(Clone)]
pub struct Cloud {
    pub address: SocketAddr,
}

impl Cloud {
    /// Starts the API. `on_order` carries out an order that was taken: service, zone and number.
    pub fn start(ip: Ipv4Addr, record: Record, on_order: OnOrder) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port for the API");
        let address = listener.local_addr().expect("an address");
        let fences: Arc<Mutex<BTreeMap<String, u64>>> = Arc::default();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (fences, record) = (fences.clone(), record.clone());
                let on_order = on_order.clone();
                std::thread::spawn(move || {
                    let mut conn = Conn::new(stream);
                    while let Ok(request) = conn.request() {
                        let body = String::from_utf8_lossy(&request.body).into_owned();
                        let read = Json::parse(&body).unwrap_or(Json::Null);
                        let subject = match request.path() {
                            "/usage" => "usage".to_owned(),
                            path => format!(
                                "{path} {} {}",
                                read.get("service").text(),
                                read.get("zone").text()
                            ),
                        };
                        let fence = request.field("apricotledge-fencing-token");
                        let fence: u64 = fence.and_then(|f| f.parse().ok()).unwrap_or(0);
                        let mut fences = fences.lock().expect("the fences");
                        let highest = fences.entry(subject.clone()).or_default();
                        let status = match fence < *highest {
                            true => 409,
                            false => {
                                *highest = fence;
                                200
                            }
                        };
                        let holder = request.field("apricotledge-duty-holder").unwrap_or("");
                        record.line(&format!(
                            "api: {subject} by {holder} under {fence}: {status} {body}"
                        ));
                        drop(fences);
                        if status == 200 && request.path() == "/scaling" {
                            let (service, zone) = (read.get("service"), read.get("zone"));
                            on_order(
                                service.text(),
                                zone.text(),
                                read.get("desiredCount").integer(),
                            );
                        }
                        if conn.send(&json_answer(status, "{}")).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Self { address }
    }
}
