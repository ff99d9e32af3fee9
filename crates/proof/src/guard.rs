//! Waiting for a condition, with a generous bound that only a fault can reach.

use std::future::Future;
use std::time::Duration;

/// Bound of every wait.
const OVERALL: Duration = Duration::from_secs(60);

/// Pause between two looks at a condition.
const PAUSE: Duration = Duration::from_millis(5);

/// Awaits a future.
///
/// # Panics
///
/// Panics, naming what was awaited, when the bound is reached.
pub async fn within<T>(what: &str, future: impl Future<Output = T>) -> T {
    match tokio::time::timeout(OVERALL, future).await {
        Ok(value) => value,
        Err(_) => panic!("waited in vain for: {what}"),
    }
}

/// Looks again and again until there is something to see.
///
/// # Panics
///
/// Panics, naming what was awaited, when the bound is reached.
pub async fn until<T>(what: &str, mut look: impl AsyncFnMut() -> Option<T>) -> T {
    let looking = async {
        loop {
            if let Some(seen) = look().await {
                return seen;
            }
            tokio::time::sleep(PAUSE).await;
        }
    };
    within(what, looking).await
}
