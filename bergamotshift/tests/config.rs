//! The `config` actions as operators call them, against the platform's stand-ins.

use std::path::Path;
use std::process::Command;
use std::process::Output;

use bergamotshift::standin::objects;
use bergamotshift::standin::table;

struct Platform {
    table: table::Server,
    objects: objects::Server,
}

impl Platform {
    fn start() -> Self {
        Self {
            table: table::Server::start(table::Settings::default()).expect("the stand-in listens"),
            objects: objects::Server::start(objects::Settings::default()).expect("the stand-in listens"),
        }
    }

    fn run(&self, action: &str, folder: Option<&Path>) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_bergamotshift"));
        command
            .args(["config", action])
            .env("BERGAMOTSHIFT_TABLE", self.table.address().to_string())
            .env("BERGAMOTSHIFT_OBJECTS", self.objects.address().to_string())
            .env("BERGAMOTSHIFT_AUTHOR", "operator");
        if let Some(folder) = folder {
            command.arg("--folder").arg(folder);
        }
        command.output().expect("the binary was built for this test")
    }

    fn prints(&self, action: &str, folder: Option<&Path>) -> String {
        let output = self.run(action, folder);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(output.status.success(), "{action}: {error}");
        String::from_utf8(output.stdout).expect("it is text")
    }
}

/// Writes a folder without zones, so that no entry has to stage it.
fn folder(price: &str) -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a temporary folder can be made");
    let text = format!("[[class]]\nname = \"gpu\"\nprice_reclaimable = {price}\nprice_on_demand = 2.0\n");
    std::fs::write(folder.path().join("10-classes.toml"), text).expect("a file can be written");
    folder
}

#[test]
fn a_change_goes_from_the_folder_to_the_history() {
    let platform = Platform::start();
    let ours = folder("1.0");
    assert_eq!(
        platform.prints("diff", Some(ours.path())).lines().next(),
        Some("+ class gpu")
    );
    assert_eq!(platform.prints("apply", Some(ours.path())), "accepted as version 1\n");
    assert_eq!(platform.prints("diff", Some(ours.path())), "no changes\n");
    let shown = platform.prints("show", None);
    assert!(
        shown.starts_with("# version 1\n") && shown.contains("name = \"gpu\""),
        "{shown}"
    );
    assert!(platform.prints("history", None).contains("operator"));
}

#[test]
fn an_old_folder_does_not_take_a_newer_change_back() {
    // Two operators fetch version 1. One applies another price. The other, whose folder is older, changes the price
    // too: the caller of `apply` sees the file's name and code 1, and the first operator's price stays.
    let platform = Platform::start();
    platform.prints("apply", Some(folder("1.0").path()));
    let [first, second] = [0, 1].map(|_| tempfile::tempdir().expect("a temporary folder can be made"));
    for copy in [&first, &second] {
        platform.prints("show", Some(copy.path()));
    }
    for (copy, price) in [(&first, "1.5"), (&second, "1.7")] {
        let path = copy.path().join("10-classes.toml");
        let text = std::fs::read_to_string(&path).expect("show wrote it");
        std::fs::write(&path, text.replace("1.0", price)).expect("a file can be written");
    }
    assert_eq!(platform.prints("apply", Some(first.path())), "accepted as version 2\n");
    let refused = platform.run("apply", Some(second.path()));
    assert_eq!(refused.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&refused.stderr).contains("10-classes.toml"));
    assert!(platform.prints("show", None).contains("price_reclaimable = 1.5"));
}

#[test]
fn a_wrong_folder_is_never_proposed() {
    let platform = Platform::start();
    let wrong = folder("\"dear\"");
    let refused = platform.run("apply", Some(wrong.path()));
    assert_eq!(refused.status.code(), Some(1));
    let error = String::from_utf8_lossy(&refused.stderr).into_owned();
    assert!(
        error.contains("10-classes.toml") && error.contains("price_reclaimable"),
        "{error}"
    );
    assert!(platform.table.rows().is_empty());
}
