"""The trainers' client library."""

from clementineline.client.trainer import SampleGroup
from clementineline.client.trainer import TrainerClient
from clementineline.client.trainer import TrainerError

__all__ = ['SampleGroup', 'TrainerClient', 'TrainerError']
