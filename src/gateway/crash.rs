//! Tells the end of an engine from the reset of one connection.

use std::io::ErrorKind;
use std::time::Duration;

use compio::net::TcpStream;

use crate::util::within;

/// Timeout for the connection. An engine or its machine answers within a round trip if it can be
/// reached at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Returns whether the machine at `address` refuses connections, so that the engine's process has
/// ended. Silence is no sign of that: this host's own link may have failed.
pub async fn has_ended(address: &str) -> bool {
    let result = within(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(result, Some(Err(err)) if err.kind() == ErrorKind::ConnectionRefused)
}
