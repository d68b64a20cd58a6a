//! Documents that entries of this version and of earlier ones give each other.

use std::borrow::Cow;

use bergamotshift_forward::document::Difference;
use bergamotshift_forward::document::Document;
use bergamotshift_forward::document::Service;
use bergamotshift_forward::peers::Transfer;
use bergamotshift_forward::peers::Update;

use crate::support::route;

fn document(version: u64) -> Document {
    let service = |name: &str, health: Option<&str>| Service {
        name: name.into(),
        connections: 100,
        engine: None,
        scale: None,
        health: health.map(Into::into),
    };
    Document {
        version,
        routes: vec![route("/drafts/"), route(&format!("/week-{version}/"))],
        services: vec![
            service("planner", Some("/healthz")),
            service("staff", None),
            service("kitchen", Some("/up")),
        ],
        ..Document::default()
    }
}

fn updates() -> [Update<'static>; 2] {
    let step = Difference::between(&document(1), &document(2));
    [
        Update::Whole(Cow::Owned(document(2))),
        Update::Steps(vec![Cow::Owned(step)]),
    ]
}

/// Guards against entries that cannot ask endpoints who they are, as another entry gave them the document.
#[test]
fn a_document_arrives_with_the_paths_of_health_checks() {
    for update in updates() {
        let encoded = Transfer::encode(&update, &document(2)).expect("it can be encoded");
        let transfer = Transfer::decode(&encoded).expect("it can be decoded");
        let (given, _) = transfer.apply(&document(1)).expect("it starts from that version");
        assert_eq!(given, document(2));
    }
}

/// Guards against entries that give each other no documents while one after the other is replaced by a later version.
#[test]
fn entries_of_earlier_versions_give_and_get_documents() {
    let without_paths = || {
        let mut document = document(2);
        document.services.iter_mut().for_each(|service| service.health = None);
        document
    };
    for update in updates() {
        let earlier = postcard::to_stdvec(&update).expect("it can be encoded");
        let transfer = Transfer::decode(&earlier).expect("it can be decoded");
        let (given, _) = transfer.apply(&document(1)).expect("it starts from that version");
        assert_eq!(given, without_paths());

        let encoded = Transfer::encode(&update, &document(2)).expect("it can be encoded");
        let read: Update<'_> = postcard::from_bytes(&encoded).expect("it can be decoded");
        let (given, _) = read.apply(&document(1)).expect("it starts from that version");
        assert_eq!(given, without_paths());
    }
}
