//! Tests of the view during the start of an entry.

use std::sync::Arc;

use bergamotshift_forward::document::Document;
use bergamotshift_forward::routes::Table;
use bergamotshift_forward::view::View;

/// Guards against requests that are refused although no limit is reached, because they are checked before the entry has
/// read the list of entries. This happens after all entries lose power: callers return as soon as the document is
/// known.
#[test]
fn a_view_is_complete_once_the_list_of_entries_is_read() {
    let mut view = View {
        table: Some(Table::new(Arc::new(Document::default()))),
        knows_endpoints: true,
        ..View::default()
    };
    assert!(view.can_serve(), "callers may come");
    assert!(!view.is_complete());
    view.knows_entries = true;
    assert!(view.is_complete());
}
