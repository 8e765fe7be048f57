//! Differences between two sets of shared settings, as lines of text for operators.

use std::collections::BTreeMap;

use serde_json::Value;

use super::split::SharedSettings;

/// Returns a line for each setting that differs, such as `partners.a.share: 50 -> 60`, sorted.
///
/// Callers are listed by name. Key digests are never printed, only that they changed.
pub fn lines(from: &SharedSettings, to: &SharedSettings) -> Vec<String> {
    let (from, to) = (values_by_path(from), values_by_path(to));
    let mut lines = Vec::new();
    for (path, old) in &from {
        match to.get(path) {
            None => lines.push(format!("{path}: {} -> removed", redacted(path, old))),
            Some(new) if new != old && is_key_digest(path) => {
                lines.push(format!("{path}: changed"))
            }
            Some(new) if new != old => lines.push(format!("{path}: {old} -> {new}")),
            Some(_) => {}
        }
    }
    let added = to.iter().filter(|(path, _)| !from.contains_key(*path));
    lines.extend(added.map(|(path, new)| format!("{path}: added {}", redacted(path, new))));
    lines.sort();
    lines
}

fn is_key_digest(path: &str) -> bool {
    path.ends_with(".key_sha256")
}

fn redacted<'a>(path: &str, value: &'a str) -> &'a str {
    if is_key_digest(path) { "…" } else { value }
}

fn values_by_path(settings: &SharedSettings) -> BTreeMap<String, String> {
    let mut values = BTreeMap::new();
    let mut value = serde_json::to_value(settings).expect("shared settings serialize to JSON");
    if let Some(callers) = value.get_mut("callers").and_then(Value::as_object_mut) {
        for (digest, mut caller) in std::mem::take(callers) {
            caller["key_sha256"] = digest.clone().into();
            let name = caller["name"].as_str().unwrap_or(&digest).to_owned();
            callers.insert(name, caller);
        }
    }
    flatten(String::new(), &value, &mut values);
    values
}

fn flatten(path: String, value: &Value, values: &mut BTreeMap<String, String>) {
    let Value::Object(fields) = value else {
        values.insert(path, value.to_string());
        return;
    };
    for (name, value) in fields {
        let path = match path.is_empty() {
            true => name.clone(),
            false => format!("{path}.{name}"),
        };
        flatten(path, value, values);
    }
}

#[cfg(test)]
mod tests;
