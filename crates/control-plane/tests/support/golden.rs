//! Comparison with golden files, which hold the expected output and responses of a program byte by byte. They guarantee
//! compatibility across upgrades: a golden file changes only together with a documented change of behaviour.

use std::path::PathBuf;

/// A directory of golden files, and placeholders for text that differs from run to run.
pub(crate) struct GoldenFiles {
    dir: PathBuf,
    placeholders: Vec<(String, &'static str)>,
}

impl GoldenFiles {
    pub(crate) fn new(dir: &str) -> GoldenFiles {
        GoldenFiles { dir: dir.into(), placeholders: Vec::new() }
    }

    /// Adds a placeholder that replaces this text before the comparison. Replacements happen in the order of addition.
    pub(crate) fn replace(mut self, text: impl ToString, placeholder: &'static str) -> GoldenFiles {
        self.placeholders.push((text.to_string(), placeholder));
        self
    }

    /// Panics unless the text, with placeholders, equals the golden file of this name.
    #[track_caller]
    pub(crate) fn assert_matches(&self, name: &str, text: &str) {
        let path = self.dir.join(name);
        let mut actual = text.to_owned();
        for (text, placeholder) in &self.placeholders {
            actual = actual.replace(text, placeholder);
        }
        let golden = std::fs::read_to_string(&path).unwrap_or_else(|error| {
            panic!("{}: {error}; the actual text is\n{actual}", path.display());
        });
        assert!(
            golden == actual,
            "{} differs\n--- golden\n{golden}\n--- actual\n{actual}\n--- as strings\n{golden:?}\n{actual:?}",
            path.display()
        );
    }
}

/// Replaces the text after each occurrence of a prefix, up to one of these end characters, by a placeholder.
pub(crate) fn mask_after(text: &str, prefix: &str, ends: &[char], placeholder: &str) -> String {
    let mut parts = text.split(prefix);
    let mut masked = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let end = part.find(ends).unwrap_or(part.len());
        masked.extend([prefix, placeholder, &part[end..]]);
    }
    masked
}
