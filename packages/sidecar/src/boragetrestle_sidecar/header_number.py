"""Numbers in the headers of other programs."""


def read_count(value: bytes, *, most: int) -> int | None:
    """Return a whole number, at most ``most``, or None if it is none.

    Longer numbers than Python converts are valid in headers.

    >>> read_count(b'007', most=100), read_count(b'9' * 5000, most=100)
    (7, 100)
    >>> read_count(b'-1', most=100) is None
    True
    """
    if not value.isdigit():
        return None
    digits = value.lstrip(b'0')
    if len(digits) > len(str(most)):
        return most
    return min(int(digits or b'0'), most)
