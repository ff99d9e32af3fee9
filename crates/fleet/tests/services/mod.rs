//! In-memory implementation of the platform's services.

use std::sync::{Mutex, PoisonError};

use async_trait::async_trait;
use base::units::Millisecond;
use bytes::Bytes;
use outside::{
    CommitError, Condition, Key, ObjectError, Objects, ReadError, Row, Table, Vm, VmListError, Vms,
    Write,
};

use crate::rows::{CommitFault, Rows};

/// Availability of the services.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    #[default]
    Up,
    Down,
}

#[derive(Debug, Default)]
pub struct Platform {
    pub rows: Mutex<Rows>,
    pub health: Mutex<Health>,
    pub vms: Mutex<Vec<Vm>>,
}

impl Platform {
    pub fn set_health(&self, health: Health) {
        *self.health.lock().unwrap_or_else(PoisonError::into_inner) = health;
    }

    fn check(&self) -> Result<(), String> {
        match *self.health.lock().unwrap_or_else(PoisonError::into_inner) {
            Health::Up => Ok(()),
            Health::Down => Err("down".to_owned()),
        }
    }

    fn rows(&self) -> std::sync::MutexGuard<'_, Rows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl Table for Platform {
    async fn get(&self, key: &Key) -> Result<Option<Row>, ReadError> {
        self.check().map_err(|reason| ReadError { reason })?;
        Ok(self.rows().get(key))
    }

    async fn scan(&self, partition: &str, after: &str, limit: u32) -> Result<Vec<Row>, ReadError> {
        self.check().map_err(|reason| ReadError { reason })?;
        let rows = self.rows();
        let found = rows
            .rows
            .values()
            .filter(|row| row.key.partition == partition && *row.key.sort > *after);
        Ok(found.take(limit as usize).cloned().collect())
    }

    async fn commit(&self, writes: Vec<Write>) -> Result<(), CommitError> {
        self.check()
            .map_err(|reason| CommitError::NotApplied { reason })?;
        self.rows().commit(writes, CommitFault::None)
    }
}

#[async_trait]
impl Objects for Platform {
    async fn get(&self, path: &str) -> Result<Option<Bytes>, ObjectError> {
        self.check().map_err(|reason| ObjectError { reason })?;
        let row = self.rows().get(&Key::new("object", path));
        Ok(row.map(|row| Bytes::from(row.body)))
    }

    async fn put(&self, path: &str, body: Bytes) -> Result<(), ObjectError> {
        self.check().map_err(|reason| ObjectError { reason })?;
        let write = Write::Put {
            key: Key::new("object", path),
            body: String::from_utf8_lossy(&body).into_owned(),
            condition: Condition::Any,
        };
        let put = self.rows().commit(vec![write], CommitFault::None);
        put.map_err(|error| ObjectError {
            reason: error.to_string(),
        })
    }
}

#[async_trait]
impl Vms for Platform {
    async fn list(&self) -> Result<Vec<Vm>, VmListError> {
        self.check().map_err(|reason| VmListError { reason })?;
        Ok(self
            .vms
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone())
    }

    async fn notice(&self, _vm: &str) -> Result<Option<Millisecond>, VmListError> {
        self.check().map_err(|reason| VmListError { reason })?;
        Ok(None)
    }
}
