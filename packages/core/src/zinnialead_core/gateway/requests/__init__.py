"""Take each request from admission through its attempts to one answer."""
