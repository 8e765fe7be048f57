//! Small stand-ins for the outside systems, for tests, benches and the demo.

pub mod backend;
pub mod engine;
pub mod members;
pub mod proxy;
pub mod sampler;
pub mod store;

use std::cell::RefCell;

use compio::net::TcpListener;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Binds `address` and prints the line that tells a parent process where the emulation listens.
///
/// # Errors
/// The address is in use or not of this machine.
pub async fn bind(kind: &str, address: &str) -> anyhow::Result<TcpListener> {
    use anyhow::Context;
    let listener = TcpListener::bind(address)
        .await
        .with_context(|| format!("could not listen on {address}; choose a free local port"))?;
    println!("ready kind={kind} address={}", listener.local_addr()?);
    Ok(listener)
}

/// A seeded source of chance events.
#[derive(Debug)]
pub struct Chance(RefCell<StdRng>);

impl Chance {
    /// Creates the source; the same seed gives the same events.
    pub fn new(seed: u64) -> Self {
        Self(RefCell::new(StdRng::seed_from_u64(seed)))
    }

    /// Returns `true` with the given probability, 0 to 1.
    pub fn happens(&self, probability: f64) -> bool {
        probability > 0.0 && self.0.borrow_mut().random::<f64>() < probability
    }
}
