//! Tests that the documentation page lists exactly the keys of the configuration types.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use bergamotshift_config::config;
use bergamotshift_config::folder;
use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error as _;
use serde::de::Visitor;
use serde::de::value::Error;

/// Deserializer that records the fields which a type's `Deserialize` implementation requests.
struct Fields<'a>(&'a mut &'static [&'static str]);

impl<'de> Deserializer<'de> for Fields<'_> {
    type Error = Error;

    fn deserialize_any<V: Visitor<'de>>(self, _: V) -> Result<V::Value, Error> {
        Err(Error::custom("not a struct"))
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        fields: &'static [&'static str],
        _: V,
    ) -> Result<V::Value, Error> {
        *self.0 = fields;
        Err(Error::custom("the fields are recorded"))
    }

    serde::forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string bytes byte_buf option unit unit_struct
        newtype_struct seq tuple tuple_struct map enum identifier ignored_any
    }
}

/// Returns the keys of a section, taken from its type.
fn keys<'de, T: Deserialize<'de>>() -> BTreeSet<String> {
    let mut fields: &[&str] = &[];
    let result = T::deserialize(Fields(&mut fields));
    assert!(
        result.is_err() && !fields.is_empty(),
        "the type is a struct with fields"
    );
    fields.iter().map(ToString::to_string).collect()
}

fn keys_of_types() -> BTreeMap<String, BTreeSet<String>> {
    let types = [
        ("zone", keys::<config::Zone>()),
        ("class", keys::<config::Class>()),
        ("price", keys::<config::ZonePrice>()),
        ("service", keys::<config::Service>()),
        ("service.target", keys::<config::Target>()),
        ("service.retry", keys::<config::Retry>()),
        ("route", keys::<config::Route>()),
        ("organisation", keys::<config::Organisation>()),
        ("organisation.limits", keys::<config::Limits>()),
        ("endpoint", keys::<config::Endpoint>()),
    ];
    types.into_iter().map(|(name, keys)| (name.to_owned(), keys)).collect()
}

fn read_page() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/CONFIGURATION.md");
    fs::read_to_string(path).unwrap()
}

/// Returns the keys in the tables of a page, by section.
fn documented_keys(page: &str) -> BTreeMap<String, BTreeSet<String>> {
    let mut sections = BTreeMap::new();
    let mut section = None;
    for line in page.lines() {
        if line.starts_with('#') {
            let name = line
                .split('`')
                .nth(1)
                .map(|name| name.trim_matches(['[', ']']).to_owned());
            section = name;
        } else if let (Some(section), Some(row)) = (&section, line.strip_prefix("| `")) {
            let key = row.split('`').next().unwrap_or_default().to_owned();
            let is_new = sections
                .entry(section.clone())
                .or_insert_with(BTreeSet::new)
                .insert(key);
            assert!(is_new, "{section} lists a key twice: {line}");
        }
    }
    sections
}

#[test]
fn the_page_has_every_key_and_no_other() {
    assert_eq!(documented_keys(&read_page()), keys_of_types());
}

#[test]
fn the_page_has_every_section_and_no_other() {
    let error = folder::parse(&[("a.toml", "nonsense = 1")]).unwrap_err().to_string();
    let known = error.split_once("expected one of ").expect("the sections are listed").1;
    let known: BTreeSet<_> = known.split('`').skip(1).step_by(2).collect();
    let types = keys_of_types();
    let documented: BTreeSet<_> = types
        .keys()
        .map(String::as_str)
        .filter(|name| !name.contains('.'))
        .collect();
    assert_eq!(documented, known);
}

#[test]
fn the_example_on_the_page_is_a_folder() {
    let page = read_page();
    let example = page
        .split("```toml\n")
        .nth(1)
        .and_then(|rest| rest.split("```").next())
        .unwrap();
    let config = folder::parse(&[("example.toml", example)]).unwrap_or_else(|error| panic!("{error}"));
    assert_eq!(config.endpoints.len(), 1);
}

/// The comparison detects a key that is missing on the page and a key that exists only there.
#[test]
fn the_comparison_can_fail() {
    let page = read_page();
    let forgotten = page.replace("| `region` |", "| region |");
    assert_ne!(documented_keys(&forgotten), keys_of_types());
    let made_up = page.replace("| `region` |", "| `colour` | none |\n| `region` |");
    assert_ne!(documented_keys(&made_up), keys_of_types());
}
