//! Registered engines for tests of decisions, without processes.

use bilberrypost::clock::Manual;
use bilberrypost::route::load::Footprint;
use bilberrypost::route::registry::{Engine, Need, Registration, Registry, Versions};
use compact_str::format_compact;

/// A small request.
pub const SMALL: Footprint = Footprint {
    prompt: 1000,
    output: 100,
    held: 0,
};

/// Returns the entry of an engine of the service `model` with four slots.
pub fn registration(id: &str, domain: &str) -> Registration {
    Registration {
        id: id.into(),
        service: "model".into(),
        address: format_compact!("{id}:1"),
        failure_domain: domain.into(),
        slots: 4,
        is_draining: false,
        started_ms: 1,
        version: "v1".into(),
    }
}

/// Returns what [`SMALL`] needs, from none of the engines in `excluded`.
pub fn need(excluded: &[Engine]) -> Need<'_> {
    Need {
        service: "model",
        footprint: SMALL,
        memory_tokens: 10_000,
        prompt: &[],
        excluded,
        versions: Versions::Any,
    }
}

/// Returns the registry of a host that knows engines by id and failure domain.
pub fn registry(clock: &Manual, entries: &[(&str, &str)]) -> Registry<Manual> {
    let mut registry = Registry::new(clock.clone(), "host-a".into(), "fd-a".into());
    let entries = entries.iter().map(|(id, domain)| registration(id, domain));
    registry.replace(entries.collect(), false);
    registry
}
