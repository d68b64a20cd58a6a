//! Which links count as broken.

use std::path::Path;

use xtask::links;

#[test]
fn only_relative_links_to_missing_files_are_broken() {
    let here = Path::new(env!("CARGO_MANIFEST_DIR"));
    let cases: [(&str, &[&str]); 5] = [
        ("[a](Cargo.toml)", &[]),
        ("[a](Cargo.toml#part)", &[]),
        ("[a](#part) [b](https://example.invalid/x)", &[]),
        (
            "[a](missing.md) and ![b](src/none.svg)",
            &["missing.md", "src/none.svg"],
        ),
        ("`[a](missing.md)`", &[]),
    ];
    for (page, expected) in cases {
        assert_eq!(links::broken(page, here), expected, "{page}");
    }
}
