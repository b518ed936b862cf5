"""Take requests through placement and upstream to one answer."""
