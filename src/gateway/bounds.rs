//! Log lines and metrics of the connections and requests that [`crate::http::budget`] closed and refused.

use log::warn;

use super::Gateway;
use crate::clock::Clock;

/// Logs and counts what was done at the limits of the process since the last call, one line for each
/// limit and action.
pub fn report<C: Clock>(gateway: &Gateway<C>) {
    let (bytes, connections) = gateway.memory.usage();
    gateway.metrics.set_caller_usage(bytes, connections);
    for ((bound, action), count) in gateway.memory.take_actions() {
        let (bound, action) = (bound.as_str(), action.as_str());
        gateway.metrics.count_bound_actions(bound, action, count);
        warn!(
            "event=bound_reached bound={bound} action={action} count={count} held_bytes={bytes} \
             connections={connections}"
        );
    }
}
