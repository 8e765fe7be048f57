//! Checks of all settings files together.

use super::host::Host;
use super::ini::{Error, File, Section};
use super::split::SharedSettings;
use crate::platform;

/// Greatest share of a partner; it keeps sums of shares within 32 bits.
const SHARE_MAX: u32 = 1_000_000;

/// Paths that the router itself answers, so that a route there would never be used.
const RESERVED_PATHS: &[&str] = &["/v1", "/admin", "/healthz", "/readyz", "/metrics"];

/// Errors of all files, each with file, line and remedy.
#[derive(Debug, thiserror::Error)]
#[error("{}", join(.0))]
pub struct Errors(pub Vec<Error>);

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
pub fn parse_files(files: &[(String, String)]) -> Result<(SharedSettings, usize), Errors> {
    let mut errors = Vec::new();
    let mut shared = Vec::new();
    let mut hosts = 0;
    for (name, text) in files {
        match File::parse(name, text) {
            Ok(file) if file.section("host").is_some() => {
                hosts += 1;
                errors.extend(check_host(&file));
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
        return Err(Errors(errors));
    }
    if shared.is_empty() {
        return Ok((SharedSettings::default(), hosts));
    }
    match build(&shared) {
        Ok(split) => Ok((split, hosts)),
        Err(errors) => Err(Errors(errors)),
    }
}

fn check_host(file: &File) -> Option<Error> {
    if let Some(section) = file.sections().find(|section| section.title != "host") {
        let message = format!(
            "[{}] stands beside [host]; move it to another file",
            section.title
        );
        return Some(section.error("", message));
    }
    Host::from_file(file).err()
}

/// Builds the split and checks what one file alone does not show.
///
/// # Errors
/// Every fault of every file.
pub fn build(files: &[File]) -> Result<SharedSettings, Vec<Error>> {
    let (split, mut errors) = SharedSettings::collect(files);
    if !errors.is_empty() {
        return Err(errors);
    }
    for section in files.iter().flat_map(File::sections) {
        errors.extend(check_section(&split, &section));
    }
    errors.extend(check_required_sections(&split, files));
    match errors.is_empty() {
        true => Ok(split),
        false => Err(errors),
    }
}

fn check_section(split: &SharedSettings, section: &Section<'_>) -> Option<Error> {
    match section.kind_and_name() {
        ("route", name) => check_route(split, section, name),
        ("model", name) => check_model(split, section, name),
        ("partner", name) => check_partner(split, section, name),
        ("rank", _) => check_floors(split, section),
        _ => None,
    }
}

fn check_route(split: &SharedSettings, section: &Section<'_>, path: &str) -> Option<Error> {
    let route = split.routes.get(path)?;
    if !path.starts_with('/') || path.ends_with('/') {
        let message = format!("route {path} is not a path; write [route /PATH] without a final /");
        return Some(section.error("", message));
    }
    let is_within = |own: &&&str| {
        let rest = path.strip_prefix(**own);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    if let Some(own) = RESERVED_PATHS.iter().find(is_within) {
        let message = format!("the router itself answers {own}; choose another path");
        return Some(section.error("", message));
    }
    if !split.services.contains_key(&route.service) {
        let name = &route.service;
        let message = format!("no service {name} in any file; add [service {name}]");
        return Some(section.error("service", message));
    }
    if route.timeout.is_zero() {
        let message = "timeout_ms = 0 lets no call end; give at least 1";
        return Some(section.error("timeout_ms", message));
    }
    None
}

fn check_model(split: &SharedSettings, section: &Section<'_>, name: &str) -> Option<Error> {
    let model = split.models.get(name)?;
    if model.max_prompt_bytes == 0 {
        let message = "max_prompt_bytes = 0 takes no prompt; give at least 1";
        return Some(section.error("max_prompt_bytes", message));
    }
    if model.min_serving_percent == 100 {
        let message = "min_serving_percent = 100 lets no engine change its version; give 0 to 99";
        return Some(section.error("min_serving_percent", message));
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

fn check_partner(split: &SharedSettings, section: &Section<'_>, name: &str) -> Option<Error> {
    let partner = split.partners.get(name)?;
    for (setting, value) in [("share", partner.share), ("cost_share", partner.cost_share)] {
        if value > SHARE_MAX {
            let message = format!("{setting} = {value} is above {SHARE_MAX}; give smaller shares");
            return Some(section.error(setting, message));
        }
    }
    None
}

fn check_floors(split: &SharedSettings, section: &Section<'_>) -> Option<Error> {
    let sum: u32 = split.ranks.values().map(|rank| rank.floor_percent).sum();
    (sum > 100).then(|| {
        let message = format!("floor_percent of all ranks is {sum} together; give at most 100");
        section.error("floor_percent", message)
    })
}

/// Checks for what must stand in some file, and for settings that all partners or none must have.
fn check_required_sections(split: &SharedSettings, files: &[File]) -> Option<Error> {
    let first = files.first()?;
    if split.partners.is_empty() {
        return Some(first.error(1, "no partner in any file; add [partner NAME] with share"));
    }
    if split.models.is_empty() && split.routes.is_empty() {
        let message = "no model and no route in any file; add [model NAME] or [route /PATH]";
        return Some(first.error(1, message));
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
    let message = format!(
        "[{}] lacks cost_share, which other partners have; give it to all or none",
        lacking.title
    );
    Some(lacking.error("cost_share", message))
}
