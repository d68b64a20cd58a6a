//! Whether a document lists organisations, in all that entries tell each other.

use bergamotshift_forward::document::Difference;
use bergamotshift_forward::document::Document;
use bergamotshift_forward::document::Organisation;
use bergamotshift_forward::document::Organisations;

fn organisation(name: &str) -> Organisation {
    Organisation {
        name: name.into(),
        keys: vec!["k".into()],
        urgency: Some(1),
        limit: None,
    }
}

fn lists() -> [Organisations; 4] {
    [
        Organisations::default(),
        Vec::new().into(),
        vec![organisation("horeca")].into(),
        vec![organisation("horeca"), organisation("")].into(),
    ]
}

fn document(version: u64, organisations: Organisations) -> Document {
    Document {
        version,
        organisations,
        ..Document::default()
    }
}

fn pass_on<T: serde::Serialize + serde::de::DeserializeOwned>(value: &T) -> T {
    let bytes = postcard::to_stdvec(value).expect("it can be encoded");
    postcard::from_bytes(&bytes).expect("it can be decoded")
}

/// Guards against requests that run without a valid key at entries that got the document from another one.
#[test]
fn an_empty_list_stays_one_when_entries_pass_the_document_on() {
    for list in lists() {
        let whole = document(2, list.clone());
        assert_eq!(pass_on(&whole), whole);
        for before in lists() {
            let before = document(1, before);
            let difference = pass_on(&Difference::between(&before, &whole));
            assert_eq!(difference.apply(&before), Ok(whole.clone()));
        }
    }
}

/// Guards against an entry of an earlier version that takes an empty list for none.
#[test]
fn an_entry_of_an_earlier_version_reads_an_empty_list_as_organisations() {
    let bytes = postcard::to_stdvec(&lists()).expect("it can be encoded");
    let read: [Vec<Organisation>; 4] = postcard::from_bytes(&bytes).expect("it can be decoded");
    assert_eq!(read.map(|list| list.is_empty()), [true, false, false, false]);
}
