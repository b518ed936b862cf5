"""Decode JSON documents whole, or part by part where one is damaged."""

from zinnialead_documents.decoding import decode
from zinnialead_documents.decoding import NestingError
from zinnialead_documents.splitting import split_array
from zinnialead_documents.splitting import split_object

__all__ = ['NestingError', 'decode', 'split_array', 'split_object']
