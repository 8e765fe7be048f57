//! Emulators of the systems that a router talks to, for tests, benches and the demo.

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

/// Binds `address` and prints a `ready` line, from which a parent process reads the bound address.
///
/// # Errors
/// The address is in use or does not belong to this machine.
pub async fn bind(kind: &str, address: &str) -> anyhow::Result<TcpListener> {
    use anyhow::Context;
    let listener = TcpListener::bind(address).await.with_context(|| {
        format!("could not listen on {address}; choose a free port of this machine")
    })?;
    println!("ready kind={kind} address={}", listener.local_addr()?);
    Ok(listener)
}

/// A seeded random number generator that decides whether a fault occurs.
#[derive(Debug)]
pub struct Random(RefCell<StdRng>);

impl Random {
    /// Creates a generator; the same seed gives the same sequence of decisions.
    pub fn new(seed: u64) -> Self {
        Self(RefCell::new(StdRng::seed_from_u64(seed)))
    }

    /// Returns `true` with the given probability, 0 to 1. A probability of 0 draws no number, so a
    /// fault that is off does not change the decisions of the others.
    pub fn random_bool(&self, probability: f64) -> bool {
        probability > 0.0 && self.0.borrow_mut().random::<f64>() < probability
    }
}
