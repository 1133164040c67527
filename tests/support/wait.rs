//! Waiting for a condition of a running site.

use std::time::Duration;

/// Tries until `probe` gives something. The bound is far above what is expected and only ends a hopeless test.
pub async fn eventually<T, F: Future<Output = Option<T>>>(what: &str, mut probe: impl FnMut() -> F) -> T {
    for _ in 0..1_200 {
        if let Some(found) = probe().await {
            return found;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("{what} did not happen");
}
