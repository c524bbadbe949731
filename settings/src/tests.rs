use super::*;

/// A list that names ever new kinds must not grow a node.
#[test]
fn names_are_bounded() {
    let mut names = vec!["first".to_owned()];
    let last = (0..5000)
        .map(|n| position(&mut names, &n.to_string()))
        .max();
    assert_eq!(
        (names.len(), last),
        (MOST_NAMES, Some(MOST_NAMES as u32 - 1))
    );
    assert_eq!(position(&mut names, "first"), 0);
}
