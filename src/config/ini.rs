//! Validated access to INI files, with errors that give the file, the line and a remedy.

use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use compact_str::CompactString;
use ini::Properties;

/// An invalid line or section in a settings file.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{file}:{line}: {message}")]
pub struct Error {
    /// File name as passed to [`File::parse`].
    pub file: CompactString,
    /// Line number, from 1.
    pub line: usize,
    /// What is wrong and how to correct it.
    pub message: String,
}

/// A parsed settings file.
#[derive(Debug)]
pub struct File {
    name: CompactString,
    text: String,
    ini: ini::Ini,
}

/// One section of a [`File`].
#[derive(Clone, Copy, Debug)]
pub struct Section<'a> {
    file: &'a File,
    /// Text between the brackets.
    pub title: &'a str,
    properties: &'a Properties,
}

impl File {
    /// Parses the text of a file; `name` is the file name in error messages.
    ///
    /// # Errors
    /// The text is not valid INI, a setting precedes the first section, or a section or setting is
    /// given twice.
    pub fn parse(name: &str, text: &str) -> Result<Self, Error> {
        let ini = ini::Ini::load_from_str_noescape(text).map_err(|err| Error {
            file: name.into(),
            line: err.line + 1,
            message: format!("{}; write [section] and name = value lines", err.msg),
        })?;
        let file = Self {
            name: name.into(),
            text: text.into(),
            ini,
        };
        file.check_duplicates()?;
        Ok(file)
    }

    fn check_duplicates(&self) -> Result<(), Error> {
        if let Some((name, _)) = self.ini.general_section().iter().next() {
            let is_setting = |line: &str| line.trim().starts_with(name);
            let line = self.text.lines().position(is_setting).unwrap_or(0) + 1;
            let message = format!("{name} is above the first section; move it into a section");
            return Err(self.error(line, message));
        }
        let mut seen = std::collections::BTreeSet::new();
        for section in self.sections() {
            if !seen.insert(section.title) {
                let message = format!("section [{}] is given twice; keep one", section.title);
                return Err(self.error(self.section_line(section.title), message));
            }
            let mut names = std::collections::BTreeSet::new();
            for (name, _) in section.properties.iter() {
                if !names.insert(name) {
                    return Err(section.error(name, format!("{name} is given twice; keep one")));
                }
            }
        }
        Ok(())
    }

    /// Returns the sections in file order.
    pub fn sections(&self) -> impl Iterator<Item = Section<'_>> {
        self.ini.iter().filter_map(|(title, properties)| {
            Some(Section {
                file: self,
                title: title?,
                properties,
            })
        })
    }

    /// Returns the section with this title, if present.
    pub fn section(&self, title: &str) -> Option<Section<'_>> {
        self.sections().find(|section| section.title == title)
    }

    /// Creates an error for a line, counted from 1.
    pub fn error(&self, line: usize, message: impl Into<String>) -> Error {
        Error {
            file: self.name.clone(),
            line,
            message: message.into(),
        }
    }

    fn section_line(&self, title: &str) -> usize {
        let is_title = |line: &str| {
            let line = line.trim();
            line.starts_with('[') && line.trim_matches(['[', ']']).trim() == title
        };
        self.text
            .lines()
            .position(is_title)
            .map_or(1, |index| index + 1)
    }
}

impl<'a> Section<'a> {
    /// Creates an error for the line of a setting, or for the section's title if the setting is
    /// absent.
    pub fn error(&self, name: &str, message: impl Into<String>) -> Error {
        let start = self.file.section_line(self.title);
        let is_setting = |line: &&str| {
            line.split_once(['=', ':'])
                .is_some_and(|(key, _)| key.trim() == name)
        };
        let lines = self.file.text.lines().skip(start);
        let index = lines
            .take_while(|line| !line.trim().starts_with('['))
            .position(|line| is_setting(&line));
        self.file
            .error(index.map_or(start, |index| start + index + 1), message)
    }

    /// Splits a title such as `partner NAME` into kind and name; the name may be empty.
    pub fn kind_and_name(&self) -> (&'a str, &'a str) {
        let (kind, name) = self.title.split_once(' ').unwrap_or((self.title, ""));
        (kind, name.trim())
    }

    /// Returns the text of a setting, if present.
    pub fn text(&self, name: &str) -> Option<&'a str> {
        self.properties.get(name)
    }

    /// Returns the text of a setting that must be present.
    ///
    /// # Errors
    /// The setting is absent.
    pub fn required(&self, name: &str) -> Result<&'a str, Error> {
        self.text(name).ok_or_else(|| {
            let message = format!("[{}] is missing {name}; add {name} = …", self.title);
            self.error(name, message)
        })
    }

    /// Returns a setting parsed as `T`, or `default` if it is absent.
    ///
    /// # Errors
    /// The value cannot be parsed.
    pub fn value<T>(&self, name: &str, default: T) -> Result<T, Error>
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some(text) = self.text(name) else {
            return Ok(default);
        };
        text.parse().map_err(|err| {
            let message = format!("{name} = {text} is not valid: {err}; correct the value");
            self.error(name, message)
        })
    }

    /// Returns a setting in milliseconds as a duration, or `default` if it is absent.
    ///
    /// # Errors
    /// The value is not a whole number.
    pub fn millis(&self, name: &str, default: Duration) -> Result<Duration, Error> {
        self.value(name, default.as_millis() as u64)
            .map(Duration::from_millis)
    }

    /// Returns a `yes` or `no` setting, or `default` if it is absent.
    ///
    /// # Errors
    /// The value is neither `yes` nor `no`.
    pub fn flag(&self, name: &str, default: bool) -> Result<bool, Error> {
        match self.text(name) {
            None => Ok(default),
            Some("yes") => Ok(true),
            Some("no") => Ok(false),
            Some(other) => {
                let message = format!("{name} = {other} is not valid; use yes or no");
                Err(self.error(name, message))
            }
        }
    }

    /// Returns the words of a setting, separated by spaces or commas; empty if it is absent.
    pub fn words(&self, name: &str) -> Vec<CompactString> {
        let text = self.text(name).unwrap_or("");
        text.split([' ', ','])
            .filter(|word| !word.is_empty())
            .map(CompactString::from)
            .collect()
    }

    /// Checks that all settings of the section are in `known`.
    ///
    /// # Errors
    /// A setting is not in `known`.
    pub fn check_names(&self, known: &[&str]) -> Result<(), Error> {
        for (name, _) in self.properties.iter() {
            if !known.contains(&name) {
                let message = format!(
                    "[{}] has no setting {name}; use one of {}",
                    self.title,
                    known.join(", ")
                );
                return Err(self.error(name, message));
            }
        }
        Ok(())
    }
}
