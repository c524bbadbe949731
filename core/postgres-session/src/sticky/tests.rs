use super::*;

#[test]
fn console_and_debug_texts_are_the_names_of_the_variants() {
    for (reason, text) in [
        (StickyReason::Setting, "Setting"),
        (StickyReason::Listen, "Listen"),
        (StickyReason::Temporary, "Temporary"),
        (StickyReason::AdvisoryLock, "AdvisoryLock"),
        (StickyReason::HoldCursor, "HoldCursor"),
        (StickyReason::SqlPrepare, "SqlPrepare"),
        (StickyReason::Unknown, "Unknown"),
        (StickyReason::Pooling, "Pooling"),
    ] {
        assert_eq!(reason.to_string(), text);
        assert_eq!(format!("{reason:?}"), text);
    }
}
