"""Whether workers can be trusted with new runs, judged by what became of earlier ones.

The modules hold no state of jobs or workers and import none of their modules.
"""
