//! Checks of all settings files together.

use super::host::Host;
use super::ini::{Error, File, Section};
use super::split::Split;
use crate::platform;

/// Greatest share of a partner; it keeps sums of shares within 32 bits.
const SHARE_MAX: u32 = 1_000_000;

/// Paths that the router itself answers, so that a route there would never be used.
const OWN_PATHS: &[&str] = &["/v1", "/admin", "/healthz", "/readyz", "/metrics"];

/// Faults of all files, each with file, line and remedy.
#[derive(Debug, thiserror::Error)]
#[error("{}", join(.0))]
pub struct Faults(pub Vec<Error>);

fn join(errors: &[Error]) -> String {
    let lines: Vec<_> = errors.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// Parses and checks the named texts; a file with a `[host]` section holds settings of a host.
///
/// Returns the split, and the number of host files.
///
/// # Errors
/// Every fault of every file.
pub fn texts(texts: &[(String, String)]) -> Result<(Split, usize), Faults> {
    let mut errors = Vec::new();
    let mut shared = Vec::new();
    let mut hosts = 0;
    for (name, text) in texts {
        match File::parse(name, text) {
            Ok(file) if file.section("host").is_some() => {
                hosts += 1;
                errors.extend(host(&file));
            }
            Ok(file) => match platform::settings::read(&file) {
                Ok(Some(_)) => hosts += 1,
                Ok(None) => shared.push(file),
                Err(err) => errors.push(err),
            },
            Err(err) => errors.push(err),
        }
    }
    if !errors.is_empty() {
        return Err(Faults(errors));
    }
    if shared.is_empty() {
        return Ok((Split::default(), hosts));
    }
    match split(&shared) {
        Ok(split) => Ok((split, hosts)),
        Err(errors) => Err(Faults(errors)),
    }
}

fn host(file: &File) -> Option<Error> {
    if let Some(section) = file.sections().find(|section| section.title != "host") {
        let what = format!(
            "[{}] stands beside [host]; move it to another file",
            section.title
        );
        return Some(section.error("", what));
    }
    Host::from_file(file).err()
}

/// Builds the split and checks what one file alone does not show.
///
/// # Errors
/// Every fault of every file.
pub fn split(files: &[File]) -> Result<Split, Vec<Error>> {
    let (split, mut errors) = Split::collect(files);
    if !errors.is_empty() {
        return Err(errors);
    }
    for section in files.iter().flat_map(File::sections) {
        errors.extend(whole(&split, &section));
    }
    errors.extend(needed(&split, files));
    match errors.is_empty() {
        true => Ok(split),
        false => Err(errors),
    }
}

fn whole(split: &Split, section: &Section<'_>) -> Option<Error> {
    match section.kind_and_name() {
        ("route", name) => route(split, section, name),
        ("model", name) => model(split, section, name),
        ("partner", name) => partner(split, section, name),
        ("rank", _) => floors(split, section),
        _ => None,
    }
}

fn route(split: &Split, section: &Section<'_>, path: &str) -> Option<Error> {
    let route = split.routes.get(path)?;
    if !path.starts_with('/') || path.ends_with('/') {
        let what = format!("route {path} is not a path; write [route /PATH] without a final /");
        return Some(section.error("", what));
    }
    let is_within = |own: &&&str| {
        let rest = path.strip_prefix(**own);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    if let Some(own) = OWN_PATHS.iter().find(is_within) {
        let what = format!("the router itself answers {own}; choose another path");
        return Some(section.error("", what));
    }
    if !split.services.contains_key(&route.service) {
        let name = &route.service;
        let what = format!("no service {name} in any file; add [service {name}]");
        return Some(section.error("service", what));
    }
    if route.timeout.is_zero() {
        let what = "timeout_ms = 0 lets no call end; give at least 1";
        return Some(section.error("timeout_ms", what));
    }
    None
}

fn model(split: &Split, section: &Section<'_>, name: &str) -> Option<Error> {
    let model = split.models.get(name)?;
    if model.max_prompt_bytes == 0 {
        let what = "max_prompt_bytes = 0 takes no prompt; give at least 1";
        return Some(section.error("max_prompt_bytes", what));
    }
    if model.min_serving_percent == 100 {
        let what = "min_serving_percent = 100 lets no engine change its version; give 0 to 99";
        return Some(section.error("min_serving_percent", what));
    }
    let repeated = (1..model.adapters.len())
        .map(|at| (&model.adapters[at], &model.adapters[..at]))
        .find(|(adapter, before)| before.contains(adapter));
    repeated.map(|(adapter, _)| {
        section.error(
            "adapters",
            format!("adapter {adapter} stands twice; keep one"),
        )
    })
}

fn partner(split: &Split, section: &Section<'_>, name: &str) -> Option<Error> {
    let partner = split.partners.get(name)?;
    for (setting, value) in [("share", partner.share), ("cost_share", partner.cost_share)] {
        if value > SHARE_MAX {
            let what = format!("{setting} = {value} is above {SHARE_MAX}; give smaller shares");
            return Some(section.error(setting, what));
        }
    }
    None
}

fn floors(split: &Split, section: &Section<'_>) -> Option<Error> {
    let sum: u32 = split.ranks.values().map(|rank| rank.floor_percent).sum();
    (sum > 100).then(|| {
        let what = format!("floor_percent of all ranks is {sum} together; give at most 100");
        section.error("floor_percent", what)
    })
}

/// Checks for what must stand in some file, and for settings that all partners or none must have.
fn needed(split: &Split, files: &[File]) -> Option<Error> {
    let first = files.first()?;
    if split.partners.is_empty() {
        return Some(first.error(1, "no partner in any file; add [partner NAME] with share"));
    }
    if split.models.is_empty() && split.routes.is_empty() {
        let what = "no model and no route in any file; add [model NAME] or [route /PATH]";
        return Some(first.error(1, what));
    }
    let partners = || {
        let sections = files.iter().flat_map(File::sections);
        sections.filter(|section| section.kind_and_name().0 == "partner")
    };
    // Defaults and given values are on different scales, so a mixture would charge wrongly.
    if partners().all(|section| section.text("cost_share").is_none()) {
        return None;
    }
    let lacking = partners().find(|section| section.text("cost_share").is_none())?;
    let what = format!(
        "[{}] lacks cost_share, which other partners have; give it to all or none",
        lacking.title
    );
    Some(lacking.error("cost_share", what))
}
