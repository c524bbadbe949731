use super::*;

#[test]
fn values_round_trip_through_text_and_binary_forms_and_invalid_text_is_rejected() {
    for (data_type, text) in [
        (Type::BOOL, "t"),
        (Type::INT2, "-7"),
        (Type::INT4, "2147483647"),
        (Type::INT8, "-9000000000"),
        (Type::FLOAT8, "2.5"),
        (Type::NUMERIC, "123456789.000100"),
        (Type::NUMERIC, "-0.00001"),
        (Type::NUMERIC, "10000"),
        (Type::NUMERIC, "0"),
        (Type::TEXT, "naïve"),
        (Type::BYTEA, "\\x00ff10"),
        (Type::UUID, "67e55044-10b1-426f-9247-bb680e5fe0c8"),
        (Type::DATE, "2026-12-01"),
        (Type::DATE, "1999-12-31"),
        (Type::TIMESTAMPTZ, "2026-12-01 10:20:30.25+00"),
        (Type::TIMESTAMP, "1970-01-01 00:00:00"),
        (Type::JSONB, "{\"a\": [1, 2]}"),
        (Type::INT4.array(), "{1,NULL,3}"),
        (Type::TEXT.array(), "{\"a b\",\"c,\\\"d\",e}"),
    ] {
        let value = Value::read_text(data_type, text)
            .unwrap_or_else(|error| panic!("{text}: {}", error.message));
        assert_eq!(value.text(data_type), text);
        let decoded = Value::read_binary(data_type, &value.binary(data_type))
            .unwrap_or_else(|error| panic!("{text}: {}", error.message));
        assert_eq!(decoded, value, "{text}");
    }
    for (data_type, text, code) in [
        (Type::INT4, "x", "22P02"),
        (Type::INT2, "40000", "22003"),
        (Type::UUID, "12", "22P02"),
        (Type::DATE, "yesterday", "22P02"),
    ] {
        assert_eq!(
            Value::read_text(data_type, text).map_err(|error| error.state.0),
            Err(code),
            "{text}"
        );
    }
}
