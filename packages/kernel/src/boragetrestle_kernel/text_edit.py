"""Compute and apply the difference between two services texts."""

from boragetrestle_kernel.change import TextEdited
from boragetrestle_kernel.service_text import Service, ServiceText


def edit_between(old: ServiceText, new: ServiceText) -> TextEdited | None:
    """Return the edit that turns one text into another.

    Returns ``None`` if no edit produces exactly the new text, for instance when
    the order of services changes.

    >>> from boragetrestle_kernel.service_text import Route
    >>> walks = Service('walks', (Route('GET', '/a'),))
    >>> edit = edit_between(ServiceText(), ServiceText((walks,)))
    >>> apply_edit(ServiceText(), edit).services[0].name
    'walks'
    """
    known = {service.name: service for service in old.services}
    kept = {service.name for service in new.services}
    same_organisations = old.organisations == new.organisations
    edit = TextEdited(
        services=tuple(
            service
            for service in new.services
            if known.get(service.name) != service
        ),
        removed=tuple(name for name in known if name not in kept),
        organisations=None if same_organisations else new.organisations,
    )
    return edit if apply_edit(old, edit) == new else None


def apply_edit(text: ServiceText, edit: TextEdited) -> ServiceText:
    """Apply an edit to a text and return the result; new services come last."""
    services: dict[str, Service] = {
        service.name: service
        for service in text.services
        if service.name not in edit.removed
    }
    for service in edit.services:
        services[service.name] = service
    organisations = edit.organisations
    if organisations is None:
        organisations = text.organisations
    return ServiceText(tuple(services.values()), organisations)
