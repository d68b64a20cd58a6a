//! Tests of the parsing and validation of folders, and of the problems that are reported.

use std::path::Path;

use bergamotshift_config::config::Config;
use bergamotshift_config::folder;
use bergamotshift_config::folder::Error;
use bergamotshift_config::folder::Parser;
use bergamotshift_core::prelude::*;
use quickcheck::quickcheck;

const BASE: &str = r#"
[[zone]]
name = "amsterdam-hall"
region = "randstad"

[[class]]
name = "small"
price_reclaimable = 0.04
price_on_demand = 0.11

[[service]]
name = "staff-app"
kind = "plain"
adapter = "http"
path = "/staff"

[[service]]
name = "planner-llm"
kind = "model"
adapter = "engine"
models = ["planner"]
"#;

/// Returns the problems of the base folder with one additional file.
fn problems(text: &str) -> Vec<String> {
    let files = [("00-base.toml", BASE), ("50-more.toml", text)];
    match folder::parse(&files) {
        Ok(_) => Vec::new(),
        Err(Error::Invalid(problems)) => problems.iter().map(ToString::to_string).collect(),
        Err(other) => vec![other.to_string()],
    }
}

/// Asserts that each text results in one problem that starts with the expected text.
fn assert_refused(cases: &[(&str, &str)]) {
    for (text, expected) in cases {
        let found = problems(text);
        assert_eq!(found.len(), 1, "{text}: {found:#?}");
        assert!(
            found[0].starts_with(expected),
            "{text}\n found: {}\n expected: {expected}",
            found[0]
        );
    }
}

#[test]
fn problems_of_zones_prices_and_organisations_name_file_line_key_and_a_hint() {
    let key = format!("keys = [\"sha256:{}\"]", "0".repeat(64));
    let organisation = |rest: &str| format!("[[organisation]]\nname = \"salto\"\n{key}\n{rest}");
    let cases = [
        ("[[zone]\n", "50-more.toml:1: "),
        (
            "\n[[zone]]\nname = \"b\"\nregoin = \"r\"\n",
            "50-more.toml:4: zone.regoin: unknown field `regoin`, expected `name` or `region` (did you mean `region`?)",
        ),
        (
            "[[zones]]\nname = \"b\"\n",
            "50-more.toml:1: zones: unknown field `zones`, expected one of",
        ),
        (
            "[[zone]]\nname = \"b\"\n",
            "50-more.toml:1: zone: missing field `region`",
        ),
        (
            "[[zone]]\nname = \"Hall B\"\nregion = \"r\"\n",
            "50-more.toml:2: zone.name: `Hall B` is not a valid name",
        ),
        (
            "[[zone]]\nname = \"amsterdam-hall\"\nregion = \"r\"\n",
            "50-more.toml:2: zone.name: `amsterdam-hall` is already used at 00-base.toml:3",
        ),
        (
            "[[class]]\nname = \"c\"\nprice_reclaimable = -1\nprice_on_demand = 1\n",
            "50-more.toml:3: class.price_reclaimable: invalid value: floating point `-1.0`",
        ),
        (
            "[[price]]\nzone = \"amsterdam-hal\"\nclass = \"small\"\non_demand = 1\n",
            "50-more.toml:2: price.zone: there is no zone `amsterdam-hal` (did you mean `amsterdam-hall`?)",
        ),
        (
            "[[price]]\nzone = \"amsterdam-hall\"\nclass = \"small\"\n",
            "50-more.toml:1: price.reclaimable: give `reclaimable`, `on_demand` or both",
        ),
        (
            "[[organisation]]\nname = \"salto\"\nkeys = [\"demo-salto\"]\n",
            "50-more.toml:3: organisation.keys: a digest must be `sha256:` followed by 64 hexadecimal digits",
        ),
        (
            &organisation("weight = 0\n"),
            "50-more.toml:4: organisation.weight: must be from 1 to 1000000",
        ),
        (
            &organisation("limits = { burst = 0 }\n"),
            "50-more.toml:4: organisation.limits.burst: a burst must be at least 1",
        ),
        (
            &organisation(&format!("\n[[organisation]]\nname = \"pocitos\"\n{key}\n")),
            "50-more.toml:7: organisation.keys: `sha256:000",
        ),
        (
            "[[endpoint]]\nname = \"vm-1\"\nservice = \"staff-app\"\nzone = \"amsterdam-hall\"\nclass = \"small\"\naddress = \"localhost:80\"\n",
            "50-more.toml:6: endpoint.address: ",
        ),
    ];
    assert_refused(&cases);
}

#[test]
fn problems_of_services_and_routes_name_file_line_key_and_a_hint() {
    assert_refused(&[
        (
            "[[route]]\nservice = \"staf-app\"\nmethod = \"POST\"\npath = \"/staff/x\"\n",
            "50-more.toml:2: route.service: there is no service `staf-app` (did you mean `staff-app`?)",
        ),
        (
            "[[route]]\nservice = \"staff-app\"\nmethod = \"POTS\"\npath = \"/staff/x\"\n",
            "50-more.toml:3: route.method: there is no method `POTS` (did you mean `POST`?)",
        ),
        (
            "[[route]]\nservice = \"staff-app\"\nmethod = \"POST\"\npath = \"/shifts\"\n",
            "50-more.toml:4: route.path: service `staff-app` serves only paths under `/staff`",
        ),
        (
            "[[route]]\nservice = \"staff-app\"\nmethod = \"POST\"\npath = \"/staff/x\"\nkey_fields = [\"shift\"]\n",
            "50-more.toml:5: route.key_fields: `shift` is not a field: write `body.NAME`",
        ),
        (
            "[[service]]\nname = \"s\"\nkind = \"modle\"\nadapter = \"engine\"\n",
            "50-more.toml:3: service.kind: unknown variant `modle`, expected `model` or `plain` (did you mean `model`?)",
        ),
        (
            "[[service]]\nname = \"s\"\nkind = \"model\"\nadapter = \"engine\"\n",
            "50-more.toml:1: service.models: a model service must list the models that it serves",
        ),
        (
            "[[service]]\nname = \"s\"\nkind = \"plain\"\nadapter = \"http\"\npath = \"/staff/\"\n",
            "50-more.toml:5: service.path: `/staff` is already used at 00-base.toml:15",
        ),
        (
            "[[service]]\nname = \"s\"\nkind = \"plain\"\nadapter = \"http\"\npath = \"/s\"\nretry = { budgett = 1 }\n",
            "50-more.toml:6: service.retry.budgett: unknown field `budgett`, expected `budget` or `attempts` (did you mean `budget`?)",
        ),
        (
            "[[service]]\nname = \"s\"\nkind = \"plain\"\nadapter = \"http\"\npath = \"/s\"\nretry = { budget = 1.5 }\n",
            "50-more.toml:6: service.retry.budget: must be from 0 to 1 retries per request",
        ),
        (
            "[[service]]\nname = \"s\"\nkind = \"plain\"\nadapter = \"http\"\npath = \"/s\"\ndeadline = \"soon\"\n",
            "50-more.toml:6: service.deadline: ",
        ),
    ]);
}

#[test]
fn all_problems_of_all_files_are_reported_together() {
    let files = [
        ("a.toml", "[[zone]]\nnam = 'x'\n"),
        ("b.toml", "x = "),
        ("c.toml", "[[zone]]\nname = 'x'\nregion = 'r'\n"),
    ];
    let Err(Error::Invalid(problems)) = folder::parse(&files) else {
        panic!("two files are wrong")
    };
    let names: Vec<_> = problems.iter().map(|problem| problem.file.as_str()).collect();
    assert_eq!(names, ["a.toml", "b.toml"]);
}

#[test]
fn an_empty_folder_is_refused() {
    assert!(matches!(folder::parse::<&str, &str>(&[]), Err(Error::Empty)));
}

#[test]
fn unknown_adapters_are_refused_where_the_adapters_are_known() {
    let parser = Parser {
        adapters: Some(&["engine", "htpp"]),
    };
    let Err(Error::Invalid(problems)) = parser.parse(&[("a.toml", BASE)]) else {
        panic!("`http` is not there")
    };
    assert_eq!(
        problems[0].to_string(),
        "a.toml:14: service.adapter: there is no adapter `http` (did you mean `htpp`?)"
    );
}

#[test]
fn prices_of_a_zone_override_those_of_the_class() {
    let more = "[[price]]\nzone = \"amsterdam-hall\"\nclass = \"small\"\nreclaimable = 0.03\n";
    let config = folder::parse(&[("a.toml", BASE), ("b.toml", more)]).unwrap();
    let (zone, class) = ("amsterdam-hall".into(), "small".into());
    assert_eq!(
        config.price(&zone, &class, Market::Reclaimable),
        Some(Price::from_micros(30_000))
    );
    assert_eq!(
        config.price(&zone, &class, Market::OnDemand),
        Some(Price::from_micros(110_000))
    );
}

/// A caller writes the path of a non-repeatable rule in another form, which the endpoint normalises. If such a request
/// was repeatable by default, a retry could run it twice. It must count as not repeatable and require a key.
#[test]
fn another_spelling_of_a_path_makes_nothing_repeatable() {
    let rules = r#"
[[route]]
service = "staff-app"
method = "PUT"
path = "/staff/confirm"
repeatable = false

[[route]]
service = "staff-app"
method = "PUT"
path = "/staff/*"
repeatable = true
"#;
    let config = folder::parse(&[("a.toml", BASE), ("b.toml", rules)]).unwrap();
    let service = &config.services["staff-app"];
    for (path, repeatable) in [
        ("/staff/confirm", false),
        ("/staff/confirm?x=1", false),
        ("/staff//confirm", false),
        ("/staff/./confirm", false),
        ("/staff/a/../confirm", false),
        ("/staff/c%6Fnfirm", false),
        ("/staff/other", true),
    ] {
        assert_eq!(config.handling(service, "PUT", path).repeatable, repeatable, "{path}");
    }
}

#[test]
fn a_service_matches_whole_path_segments_and_its_hosts() {
    let more = "[[service]]\nname = \"hosted\"\nkind = \"plain\"\nadapter = \"http\"\nhosts = [\"Apps.example\"]\n";
    let config = folder::parse(&[("a.toml", BASE), ("b.toml", more)]).unwrap();
    for (host, path, expected) in [
        ("x", "/staff", Some("staff-app")),
        ("x", "/staff/1?q", Some("staff-app")),
        ("x", "/staffing", None),
        ("apps.EXAMPLE:8080", "/any", Some("hosted")),
        ("apps.example", "/staff", Some("hosted")),
        ("other.example", "/any", None),
    ] {
        let found = config.service_for(host, path).map(|service| service.name.as_str());
        assert_eq!(found, expected, "{host}{path}");
    }
}

fn read_example(name: &str) -> Vec<(String, String)> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples").join(name);
    let files = folder::read(&path).unwrap();
    files.into_iter().map(|(name, text)| (name.to_string(), text)).collect()
}

#[test]
fn a_formatted_configuration_parses_to_the_same_value() {
    for name in ["oranjehal", "mapa-limpio"] {
        let config = folder::parse(&read_example(name)).unwrap();
        let text = config.to_string();
        assert_eq!(folder::parse(&[("all.toml", text)]).unwrap(), config);
    }
}

quickcheck! {
    fn arbitrary_bytes_are_refused_without_a_panic(bytes: Vec<u8>) -> bool {
        let text = String::from_utf8_lossy(&bytes);
        folder::parse(&[("a.toml", text)]).map_or(true, |config| config == Config::default())
    }

    fn damaged_examples_do_not_panic(cuts: Vec<(usize, u8, u8)>) -> bool {
        let mut files = read_example("oranjehal");
        for (at, byte, kind) in cuts {
            let index = at % files.len();
            let mut bytes = files[index].1.clone().into_bytes();
            let at = at % bytes.len().max(1);
            match kind % 3 {
                0 if at < bytes.len() => bytes[at] = byte,
                1 => bytes.insert(at, byte),
                _ => bytes.truncate(at),
            }
            files[index].1 = String::from_utf8_lossy(&bytes).into_owned();
        }
        match folder::parse(&files) {
            Err(Error::Invalid(problems)) => problems.iter().all(|problem| problem.line > 0 && !problem.to_string().is_empty()),
            _ => true,
        }
    }
}
