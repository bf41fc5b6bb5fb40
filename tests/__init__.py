"""Tests of cassialever."""
