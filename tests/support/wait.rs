//! Waiting for a condition of a running site.

use std::time::Duration;

/// Tries before a test is given up as hopeless: five minutes of pauses, so that a host that takes processor time away cannot
/// decide the result.
const MAX_TRIES: u32 = 6_000;

/// Tries until `probe` gives something. The bound is far above what is expected and only ends a hopeless test.
pub async fn eventually<T, F: Future<Output = Option<T>>>(what: &str, mut probe: impl FnMut() -> F) -> T {
    for _ in 0..MAX_TRIES {
        if let Some(found) = probe().await {
            return found;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("{what} did not happen");
}
