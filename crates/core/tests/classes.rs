//! Names of classes, which clients may choose.

use fescuelead_core::interference::{Classes, MAX_CLASSES};

/// Guards against names that are kept although they have no class of their own.
#[test]
fn names_beyond_the_maximum_are_not_kept() {
    let mut classes = Classes::<String>::new();
    for number in 0..MAX_CLASSES {
        classes.intern(&format!("image-{number}"));
    }
    let last = classes.find("image-0").map(|first| classes.intern(&format!("image-{}", MAX_CLASSES - 1)).0 - first.0);
    assert_eq!(last.map(usize::from), Some(MAX_CLASSES - 1));
    let beyond = classes.intern(&"another".to_owned());
    assert_eq!(usize::from(beyond.0), MAX_CLASSES - 1);
    assert_eq!(classes.find("another"), None);
}
