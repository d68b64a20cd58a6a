//! Tests that the pages name.
//!
//! A page names a test as `crate/path.rs::test_name` in a code span. A page that names a test which is gone promises a
//! proof that nobody has; this chore finds it.

use std::path::Path;

use pulldown_cmark::Event;
use pulldown_cmark::Parser;

use crate::error::Error;
use crate::walk;

/// Checks that every test named on a page exists, and prints those that don't.
///
/// # Errors
///
/// Returns [`Error::Findings`] when a test is missing and [`Error::Read`] when a page can't be read.
pub fn check(root: &Path) -> Result<(), Error> {
    let mut count = 0;
    for page in walk::files(root, "md")? {
        for name in missing(&walk::text(&page)?, root) {
            println!("{}: {name}", page.display());
            count += 1;
        }
    }
    if count == 0 {
        return Ok(());
    }
    Err(Error::Findings { check: "names", count })
}

/// Returns the tests that a page names and that aren't below `root`.
pub fn missing(page: &str, root: &Path) -> Vec<String> {
    let spans = Parser::new(page).filter_map(|event| match event {
        Event::Code(text) => Some(text.into_string()),
        _ => None,
    });
    spans.filter(|span| names_a_test(span) && !exists(span, root)).collect()
}

fn names_a_test(span: &str) -> bool {
    span.split_once(".rs::").is_some_and(|(_, test)| !test.is_empty())
}

fn exists(span: &str, root: &Path) -> bool {
    let Some((file, test)) = span.split_once("::") else {
        return false;
    };
    let source = std::fs::read_to_string(root.join(file)).unwrap_or_default();
    source.contains(&format!("fn {test}("))
}
