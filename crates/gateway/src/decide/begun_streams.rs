//! The software versions that began the recent streams.

use std::collections::VecDeque;

use base::units::Millisecond;
use base::{Map, Name};
use policy::suspect::RequestDigest;

use super::version_history::STREAM_LIFE_MS;

/// Most streams that are remembered; the oldest are forgotten first.
const STREAMS_LIMIT: usize = 32_768;

/// Identifies a stream by the workspace, the service and the request that brought its first event.
pub fn stream_key(workspace: &str, service: &str, request_id: &str) -> RequestDigest {
    RequestDigest::of(workspace, service, request_id.as_bytes())
}

/// A stream whose version is not in the store yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnsavedStream {
    pub key: RequestDigest,
    pub service: Name,
    pub version: Name,
}

/// Versions of recent streams, as known to this node.
#[derive(Debug, Default)]
pub struct BegunStreams {
    versions: Map<RequestDigest, Name>,
    /// Times at which the streams were recorded, the oldest first.
    recorded: VecDeque<(Millisecond, RequestDigest)>,
    unsaved: VecDeque<UnsavedStream>,
}

impl BegunStreams {
    /// Version that began a stream.
    pub fn version(&self, key: &RequestDigest) -> Option<&Name> {
        self.versions.get(key)
    }

    /// Records a stream that a server of this node has begun. The first record of a stream stays.
    /// Returns whether it was unknown.
    pub fn begin(&mut self, stream: UnsavedStream, now_ms: Millisecond) -> bool {
        let is_new = self.remember(stream.key, &stream.version, now_ms);
        if is_new {
            self.unsaved.push_back(stream);
        }
        is_new
    }

    /// Records a stream whose version is in the store, or is saved by another node. Returns whether
    /// it was unknown.
    pub fn remember(&mut self, key: RequestDigest, version: &Name, now_ms: Millisecond) -> bool {
        if self.versions.contains_key(&key) {
            return false;
        }
        self.forget(now_ms);
        self.versions.insert(key, version.clone());
        self.recorded.push_back((now_ms, key));
        true
    }

    fn forget(&mut self, now_ms: Millisecond) {
        while let Some((at_ms, key)) = self.recorded.front() {
            let is_old = now_ms.saturating_sub(*at_ms) >= STREAM_LIFE_MS;
            if !is_old && self.recorded.len() < STREAMS_LIMIT {
                return;
            }
            self.versions.remove(key);
            self.recorded.pop_front();
            while let Some(oldest) = self.unsaved.front()
                && !self.versions.contains_key(&oldest.key)
            {
                self.unsaved.pop_front();
            }
        }
    }

    /// Takes up to `limit` streams of the services in `saves` that are not in the store. Streams of
    /// other services stay until they are forgotten.
    pub fn take_unsaved(
        &mut self,
        limit: usize,
        saves: impl Fn(&Name) -> bool,
    ) -> Vec<UnsavedStream> {
        let mut taken = Vec::new();
        let mut kept = VecDeque::new();
        for stream in self.unsaved.drain(..) {
            match taken.len() < limit && saves(&stream.service) {
                true => taken.push(stream),
                false => kept.push_back(stream),
            }
        }
        self.unsaved = kept;
        taken
    }

    /// Puts streams back that could not be saved.
    pub fn put_back(&mut self, streams: Vec<UnsavedStream>) {
        for stream in streams.into_iter().rev() {
            self.unsaved.push_front(stream);
        }
    }
}
