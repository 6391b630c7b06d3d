"""Writes the values that tomllib reads back as TOML, each table inline."""


def to_toml(document: dict) -> str:
    """Return the document as TOML text, one top-level key a line or list."""
    return "".join(f"{key} = {_top_level(value)}\n" for key, value in document.items())


def _top_level(value: object) -> str:
    if not isinstance(value, list) or not any(isinstance(item, dict) for item in value):
        return _inline(value)
    return "[\n" + "".join(f"  {_inline(item)},\n" for item in value) + "]"


def _inline(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, (int, float)):
        return repr(value)
    if isinstance(value, str):
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
    if isinstance(value, list):
        return "[" + ", ".join(_inline(item) for item in value) + "]"
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {_inline(item)}" for key, item in value.items()) + " }"
    raise TypeError(f"cannot write {type(value).__name__} as TOML")
