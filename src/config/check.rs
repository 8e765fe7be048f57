//! Validates settings files, each alone and all of them together.

use super::host::Host;
use super::ini::{Error, File, Section};
use super::split::SharedSettings;
use crate::platform;

/// Largest share of a partner. Sums of larger shares could overflow 32 bits.
const SHARE_MAX: u32 = 1_000_000;

/// Path prefixes that the router handles itself; a route below one would never match.
const RESERVED_PATHS: &[&str] = &["/v1", "/admin", "/healthz", "/readyz", "/metrics"];

/// Errors of all files, printed one per line.
#[derive(Debug, thiserror::Error)]
#[error("{}", join(.0))]
pub struct Errors(pub Vec<Error>);

fn join(errors: &[Error]) -> String {
    let lines: Vec<_> = errors.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// Parses and validates settings files, given as pairs of name and text.
///
/// A file with a `[host]` or `[platform]` section holds the settings of one host; all other files
/// together hold the shared settings. Returns the shared settings and the number of host files.
///
/// # Errors
/// All errors of the host files and of parsing; if there are none, all errors of the shared
/// settings.
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
        Ok(settings) => Ok((settings, hosts)),
        Err(errors) => Err(Errors(errors)),
    }
}

fn check_host(file: &File) -> Option<Error> {
    if let Some(section) = file.sections().find(|section| section.title != "host") {
        let message = format!(
            "[{}] cannot be in the same file as [host]; move it to another file",
            section.title
        );
        return Some(section.error("", message));
    }
    Host::from_file(file).err()
}

/// Builds the shared settings and validates them across all files.
///
/// # Errors
/// All errors of single sections; if there are none, all errors across files.
pub fn build(files: &[File]) -> Result<SharedSettings, Vec<Error>> {
    let (settings, mut errors) = SharedSettings::collect(files);
    if !errors.is_empty() {
        return Err(errors);
    }
    for section in files.iter().flat_map(File::sections) {
        errors.extend(check_section(&settings, &section));
    }
    errors.extend(check_required_sections(&settings, files));
    match errors.is_empty() {
        true => Ok(settings),
        false => Err(errors),
    }
}

fn check_section(settings: &SharedSettings, section: &Section<'_>) -> Option<Error> {
    match section.kind_and_name() {
        ("route", name) => check_route(settings, section, name),
        ("model", name) => check_model(settings, section, name),
        ("partner", name) => check_partner(settings, section, name),
        ("rank", _) => check_floors(settings, section),
        _ => None,
    }
}

fn check_route(settings: &SharedSettings, section: &Section<'_>, path: &str) -> Option<Error> {
    let route = settings.routes.get(path)?;
    if !path.starts_with('/') || path.ends_with('/') {
        let message = format!("route {path} is not a path; write [route /PATH] without a final /");
        return Some(section.error("", message));
    }
    let contains_path = |reserved: &&&str| {
        let rest = path.strip_prefix(**reserved);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    if let Some(reserved) = RESERVED_PATHS.iter().find(contains_path) {
        let message = format!("the router handles {reserved} itself; choose another path");
        return Some(section.error("", message));
    }
    if !settings.services.contains_key(&route.service) {
        let name = &route.service;
        let message = format!("no service {name} in any file; add [service {name}]");
        return Some(section.error("service", message));
    }
    if route.timeout.is_zero() {
        let message = "timeout_ms = 0 would end every call at once; set at least 1";
        return Some(section.error("timeout_ms", message));
    }
    None
}

fn check_model(settings: &SharedSettings, section: &Section<'_>, name: &str) -> Option<Error> {
    let model = settings.models.get(name)?;
    if model.max_prompt_bytes == 0 {
        let message = "max_prompt_bytes = 0 would refuse every prompt; set at least 1";
        return Some(section.error("max_prompt_bytes", message));
    }
    if model.min_serving_percent == 100 {
        let message =
            "min_serving_percent = 100 would keep engines from changing versions; set 0 to 99";
        return Some(section.error("min_serving_percent", message));
    }
    let duplicate = (1..model.adapters.len())
        .map(|index| (&model.adapters[index], &model.adapters[..index]))
        .find(|(adapter, earlier)| earlier.contains(adapter));
    duplicate.map(|(adapter, _)| {
        section.error(
            "adapters",
            format!("adapter {adapter} is listed twice; keep one"),
        )
    })
}

fn check_partner(settings: &SharedSettings, section: &Section<'_>, name: &str) -> Option<Error> {
    let partner = settings.partners.get(name)?;
    for (setting, value) in [("share", partner.share), ("cost_share", partner.cost_share)] {
        if value > SHARE_MAX {
            let message = format!("{setting} = {value} is above {SHARE_MAX}; use smaller shares");
            return Some(section.error(setting, message));
        }
    }
    None
}

fn check_floors(settings: &SharedSettings, section: &Section<'_>) -> Option<Error> {
    let sum: u32 = settings.ranks.values().map(|rank| rank.floor_percent).sum();
    (sum > 100).then(|| {
        let message =
            format!("floor_percent of all ranks adds up to {sum}; keep the sum at or below 100");
        section.error("floor_percent", message)
    })
}

/// Checks that the required sections exist, and that either all partners or none set `cost_share`.
fn check_required_sections(settings: &SharedSettings, files: &[File]) -> Option<Error> {
    let first = files.first()?;
    if settings.partners.is_empty() {
        return Some(first.error(1, "no partner in any file; add [partner NAME] with share"));
    }
    if settings.models.is_empty() && settings.routes.is_empty() {
        let message = "no model and no route in any file; add [model NAME] or [route /PATH]";
        return Some(first.error(1, message));
    }
    let partners = || {
        let sections = files.iter().flat_map(File::sections);
        sections.filter(|section| section.kind_and_name().0 == "partner")
    };
    // The default of cost_share is share, which may be on another scale than the values set here; a
    // mixture would charge the wrong amounts.
    if partners().all(|section| section.text("cost_share").is_none()) {
        return None;
    }
    let incomplete = partners().find(|section| section.text("cost_share").is_none())?;
    let message = format!(
        "[{}] is missing cost_share, which other partners set; set it for all partners or for none",
        incomplete.title
    );
    Some(incomplete.error("cost_share", message))
}
