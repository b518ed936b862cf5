"""Read, check and fold tickets."""
