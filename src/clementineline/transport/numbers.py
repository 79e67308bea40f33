"""Numbers in text from other processes."""

import math

__all__ = ['read_integer', 'read_number']

# Longer numbers may exceed 64 bits, and thousands of digits are an error.
DIGITS_MAX = 18


def read_integer(text):
    """Return a non-negative decimal integer.

    :param text: str, bytes or None
    :returns: the integer; None if the text is not one, or has more than
        ``DIGITS_MAX`` digits
    """
    if text is None:
        return None
    text = text.strip()
    if not text.isdigit() or not text.isascii() or len(text) > DIGITS_MAX:
        return None
    return int(text)


def read_number(text):
    """Return a finite number, None if the text is not one.

    :param text: str, bytes or None
    """
    if text is None:
        return None
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) else None
