//! Which of the new engines get requests before the order has ended.

use crate::util::hash64;

/// Returns the positions in `ids` of the engines that get the `share` of the requests that `old` engines
/// had. All hosts choose the same few engines, which are then about as busy as the old ones. Spread over
/// all new engines, the requests would leave each nearly idle and hide faults that show under load.
pub fn trial_engines(ids: &[&str], old: usize, share: f64) -> Vec<usize> {
    let count = (share * old as f64).ceil().max(1.0) as usize;
    let mut positions: Vec<_> = (0..ids.len()).collect();
    positions.sort_by_key(|position| hash64(&[ids[*position].as_bytes()]));
    positions.truncate(count);
    positions
}
