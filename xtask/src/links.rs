//! Relative links of the Markdown pages.

use std::path::Path;

use pulldown_cmark::Event;
use pulldown_cmark::Parser;
use pulldown_cmark::Tag;

use crate::error::Error;
use crate::walk;

/// Checks that each relative link of each page leads to a file or folder, and prints those that don't.
///
/// # Errors
///
/// Returns [`Error::Findings`] when a link leads nowhere and [`Error::Read`] when a page can't be read.
pub fn check(root: &Path) -> Result<(), Error> {
    let mut count = 0;
    for page in walk::files(root, "md")? {
        let folder = page.parent().unwrap_or(root);
        for link in broken(&walk::text(&page)?, folder) {
            println!("{}: {link}", page.display());
            count += 1;
        }
    }
    if count == 0 {
        return Ok(());
    }
    Err(Error::Findings { check: "links", count })
}

/// Returns the relative links of a page, read as if it lay in `folder`, that lead to no file.
pub fn broken(page: &str, folder: &Path) -> Vec<String> {
    Parser::new(page)
        .filter_map(target)
        .filter(|link| !leads_somewhere(link, folder))
        .collect()
}

fn target(event: Event<'_>) -> Option<String> {
    match event {
        Event::Start(Tag::Link { dest_url, .. } | Tag::Image { dest_url, .. }) => Some(dest_url.into_string()),
        _ => None,
    }
}

fn leads_somewhere(link: &str, folder: &Path) -> bool {
    let outside = link.contains("://") || link.starts_with("mailto:");
    let path = link.split('#').next().unwrap_or_default();
    outside || path.is_empty() || folder.join(path).exists()
}
