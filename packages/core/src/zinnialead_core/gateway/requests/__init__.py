"""Take each request from admission over its attempts to one answer."""
